package forwarder_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/forwarder"
	"github.com/wigeonstand/wigeonstand/internal/generator"
	"github.com/wigeonstand/wigeonstand/internal/requester"
	"github.com/wigeonstand/wigeonstand/internal/sharder"
)

// doer sends two chunks for each command and, after the delay, replies or returns the
// next of the failures.
type doer struct {
	mu            sync.Mutex
	commands      []requester.Command
	contextErrors []error
	delay         time.Duration
	failures      []error
}

func (d *doer) Do(ctx context.Context, command requester.Command, sink requester.Sink) (requester.Reply, error) {
	d.mu.Lock()
	d.commands = append(d.commands, command)
	var failure error
	if len(d.failures) > 0 {
		failure, d.failures = d.failures[0], d.failures[1:]
	}
	d.mu.Unlock()
	for n := range 2 {
		if err := sink.Chunk(generator.Chunk{Request: "r", Offset: n, Text: "w ", Tokens: 1}); err != nil {
			return requester.Reply{}, err
		}
	}
	select {
	case <-time.After(d.delay):
	case <-ctx.Done():
		d.mu.Lock()
		d.contextErrors = append(d.contextErrors, ctx.Err())
		d.mu.Unlock()
		return requester.Reply{}, answerer.Wrap(answerer.Canceled, ctx.Err(), "canceled")
	}
	if failure != nil {
		return requester.Reply{}, failure
	}
	return requester.Reply{Turn: &requester.TurnReply{Program: "p", Text: "w w "}}, nil
}

func (d *doer) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.commands)
}

func (d *doer) HandleHeartbeat(heartbeat forwarder.Heartbeat) forwarder.Heartbeat {
	heartbeat.Instance = "owner"
	return heartbeat
}

func (d *doer) Document(_ context.Context, version int64) (int64, []byte, error) {
	return version + 1, []byte("document"), nil
}

type sink struct{ chunks []generator.Chunk }

func (s *sink) Chunk(chunk generator.Chunk) error {
	s.chunks = append(s.chunks, chunk)
	return nil
}

// breakableConn is a connection that loses all data in both directions once broken is
// closed, without an error.
type breakableConn struct {
	net.Conn
	broken chan struct{}
}

func (c *breakableConn) isBroken() bool {
	select {
	case <-c.broken:
		return true
	default:
		return false
	}
}

func (c *breakableConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for err == nil && c.isBroken() {
		n, err = c.Conn.Read(b)
	}
	return n, err
}

func (c *breakableConn) Write(b []byte) (int, error) {
	if c.isBroken() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// testNetwork connects one client to one server by pipes.
type testNetwork struct {
	server      *forwarder.Server
	ctx         context.Context
	mu          sync.Mutex
	dialCount   int
	refuseDials bool
	conns       []*breakableConn
	serverCalls sync.WaitGroup
}

func (n *testNetwork) dial(context.Context, string) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dialCount++
	if n.refuseDials {
		return nil, errors.New("connection refused")
	}
	clientConn, serverConn := net.Pipe()
	n.serverCalls.Go(func() { _ = n.server.ServeConn(n.ctx, serverConn) })
	conn := &breakableConn{Conn: clientConn, broken: make(chan struct{})}
	n.conns = append(n.conns, conn)
	return conn, nil
}

func (n *testNetwork) breakAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, conn := range n.conns {
		if !conn.isBroken() {
			close(conn.broken)
		}
	}
}

// closeAll closes all connections, so that the server stops serving them.
func (n *testNetwork) closeAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, conn := range n.conns {
		_ = conn.Close()
	}
}

type fixedPlacer struct {
	sharder.Placement
	refreshCount int
}

func (p *fixedPlacer) Locate(int) sharder.Placement { return p.Placement }

func (p *fixedPlacer) Refresh(context.Context) error {
	p.refreshCount++
	return nil
}

type fixture struct {
	owner   *doer
	local   *doer
	network *testNetwork
	placer  *fixedPlacer
	client  *forwarder.Client
	entry   *forwarder.Forwarder
}

// runInBubble runs the test in a synctest bubble with an entry and an owner.
func runInBubble(t *testing.T, test func(t *testing.T, f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{owner: &doer{delay: time.Second}, local: &doer{}}
		server, err := forwarder.NewServer(f.owner, f.owner, f.owner)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		f.network = &testNetwork{server: server, ctx: ctx}
		f.client = forwarder.NewClient(forwarder.WithDial(f.network.dial))
		f.placer = &fixedPlacer{Placement: sharder.Placement{Instance: "owner", Address: "owner", Ready: true}}
		f.entry = forwarder.New(f.placer, f.client, f.local)
		test(t, f)
		f.client.Close()
		cancel()
		f.network.closeAll()
		f.network.serverCalls.Wait()
	})
}

func turn(number int) requester.Command {
	return requester.Command{Request: "r", Turn: &requester.Turn{Program: "p", Number: number, Input: "hello"}}
}

func TestDoForwardsChunksReplyAndTimeout(t *testing.T) {
	runInBubble(t, func(t *testing.T, f *fixture) {
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		defer cancel()
		got := &sink{}
		reply, err := f.entry.Do(ctx, turn(1), got)
		if err != nil {
			t.Fatal(err)
		}
		want := requester.Reply{Turn: &requester.TurnReply{Program: "p", Text: "w w "}}
		if diff := cmp.Diff(want, reply); diff != "" {
			t.Error(diff)
		}
		chunks := []generator.Chunk{
			{Request: "r", Offset: 0, Text: "w ", Tokens: 1},
			{Request: "r", Offset: 1, Text: "w ", Tokens: 1},
		}
		if diff := cmp.Diff(chunks, got.chunks); diff != "" {
			t.Error(diff)
		}
		sent := turn(1)
		sent.Hops = 1
		sent.Timeout = 30 * time.Second
		if diff := cmp.Diff([]requester.Command{sent}, f.owner.commands); diff != "" {
			t.Error(diff)
		}
	})
}

func TestHeartbeatAndDocument(t *testing.T) {
	runInBubble(t, func(t *testing.T, f *fixture) {
		heartbeat := forwarder.Heartbeat{Instance: "entry", Generation: 3, Epoch: 4, DocumentVersion: 5, Ready: true, Load: 6}
		got, err := f.client.Heartbeat(t.Context(), "owner", heartbeat)
		heartbeat.Instance = "owner"
		if diff := cmp.Diff(heartbeat, got); diff != "" || err != nil {
			t.Error(diff, err)
		}
		version, body, err := f.client.FetchDocument(t.Context(), "owner", 7)
		if diff := cmp.Diff("document", string(body)); diff != "" || err != nil || version != 8 {
			t.Error(diff, err, version)
		}
		if diff := cmp.Diff(1, f.network.dialCount); diff != "" {
			t.Error("dials: " + diff)
		}
	})
}

func TestDeadlineCancelsTheCommandOnTheOwner(t *testing.T) {
	runInBubble(t, func(t *testing.T, f *fixture) {
		f.owner.delay = time.Hour
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		_, err := f.entry.Do(ctx, turn(1), &sink{})
		if err == nil {
			t.Error("no error after the deadline")
		}
		synctest.Wait()
		if diff := cmp.Diff(1, len(f.owner.contextErrors)); diff != "" {
			t.Error(diff)
		}
	})
}

// TestUnresponsiveConnectionIsReplaced breaks the connection while a turn is running.
// The turn is retried on a new connection and the caller receives each chunk once.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	runInBubble(t, func(t *testing.T, f *fixture) {
		f.owner.delay = 2 * time.Second
		time.AfterFunc(time.Second, f.network.breakAll)
		got := &sink{}
		reply, err := f.entry.Do(t.Context(), turn(1), got)
		if err != nil || reply.Turn == nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(2, len(got.chunks)); diff != "" {
			t.Error("chunks: " + diff)
		}
		if diff := cmp.Diff(2, f.owner.count()); diff != "" {
			t.Error("attempts: " + diff)
		}
	})
}

func TestLostReplyIsNotReportedAsNotRun(t *testing.T) {
	keyless := turn(0)
	call := requester.Command{Call: &requester.Call{Service: "s", Key: "k"}}
	for _, test := range []struct {
		name     string
		command  requester.Command
		attempts int
		want     answerer.Kind
	}{
		{"TurnWithoutNumber", keyless, 1, answerer.NotDurable},
		{"Turn", turn(3), 2, answerer.NotDurable},
		{"Call", call, 2, answerer.OutcomeUnknown},
		{"History", requester.Command{History: &requester.History{Program: "p"}}, 2, answerer.OwnerUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T, f *fixture) {
				f.owner.delay = time.Hour
				for _, after := range []time.Duration{time.Second, 8 * time.Second} {
					time.AfterFunc(after, f.network.breakAll)
				}
				_, err := f.entry.Do(t.Context(), test.command, &sink{})
				if diff := cmp.Diff(test.want, answerer.KindOf(err)); diff != "" {
					t.Error(diff)
				}
				if diff := cmp.Diff(test.attempts, f.owner.count()); diff != "" {
					t.Error("attempts: " + diff)
				}
			})
		})
	}
}

func TestUndeliveredCommandIsReportedAsNotRun(t *testing.T) {
	runInBubble(t, func(t *testing.T, f *fixture) {
		f.network.refuseDials = true
		_, err := f.entry.Do(t.Context(), turn(1), &sink{})
		if diff := cmp.Diff(answerer.OwnerUnavailable, answerer.KindOf(err)); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff(2, f.network.dialCount); diff != "" {
			t.Error("dials: " + diff)
		}
	})
}

func TestMovedRefreshesTheMapAndRetriesOnce(t *testing.T) {
	for _, test := range []struct {
		name  string
		moved int
		want  answerer.Kind
	}{{"Once", 1, ""}, {"Twice", 2, answerer.Moved}} {
		t.Run(test.name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T, f *fixture) {
				for range test.moved {
					f.owner.failures = append(f.owner.failures, answerer.New(answerer.Moved, "moved"))
				}
				_, err := f.entry.Do(t.Context(), turn(1), &sink{})
				var kind answerer.Kind
				if err != nil {
					kind = answerer.KindOf(err)
				}
				if diff := cmp.Diff(test.want, kind); diff != "" {
					t.Error(diff)
				}
				if diff := cmp.Diff(1, f.placer.refreshCount); diff != "" {
					t.Error("refreshed: " + diff)
				}
			})
		})
	}
}

func TestErrorsKeepKindAndRetryAfter(t *testing.T) {
	runInBubble(t, func(t *testing.T, f *fixture) {
		f.owner.failures = []error{answerer.New(answerer.Overloaded, "full").WithRetryAfter(7 * time.Second), io.EOF}
		_, err := f.entry.Do(t.Context(), turn(1), &sink{})
		want := answerer.Error{Kind: answerer.Overloaded, Detail: "full", RetryAfter: 7 * time.Second}
		if diff := cmp.Diff(want, *answerer.As(err)); diff != "" {
			t.Error(diff)
		}
		_, err = f.entry.Do(t.Context(), turn(1), &sink{})
		if diff := cmp.Diff(answerer.Internal, answerer.KindOf(err)); diff != "" {
			t.Error(diff)
		}
		if _, err = f.entry.Do(t.Context(), turn(1), &sink{}); err != nil {
			t.Error(err)
		}
		if diff := cmp.Diff(1, f.network.dialCount); diff != "" {
			t.Error("dials, with one connection reused: " + diff)
		}
	})
}

// delayedPlacer places all shards on this instance after lookupsUntilLocal lookups.
type delayedPlacer struct {
	fixedPlacer
	lookupsUntilLocal int
}

func (p *delayedPlacer) Locate(int) sharder.Placement {
	p.lookupsUntilLocal--
	return sharder.Placement{Instance: "owner", Local: p.lookupsUntilLocal < 0}
}

func TestLocalDoerWaitsOnlyForItsOwnShards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		doer := &doer{}
		local := forwarder.NewLocalDoer("owner", &delayedPlacer{lookupsUntilLocal: 10}, doer)
		if _, err := local.Do(t.Context(), turn(1), &sink{}); err != nil {
			t.Error(err)
		}
		other := &fixedPlacer{Placement: sharder.Placement{Instance: "other", Address: "other", Ready: true}}
		_, err := forwarder.NewLocalDoer("owner", other, doer).Do(t.Context(), turn(1), &sink{})
		detail := fmt.Sprintf("shard %d is owned by instance %q", requester.ShardOf("p"), "other")
		want := answerer.Error{Kind: answerer.Moved, Detail: detail, Owner: "other"}
		if diff := cmp.Diff(want, *answerer.As(err)); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff(1, other.refreshCount); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff(1, doer.count()); diff != "" {
			t.Error(diff)
		}
	})
}

// TestFailureClosesIdleConnections breaks several idle connections. After the first
// call fails, the others must be closed too: the next calls use a new connection.
func TestFailureClosesIdleConnections(t *testing.T) {
	runInBubble(t, func(t *testing.T, f *fixture) {
		var calls sync.WaitGroup
		for n := range 5 {
			calls.Go(func() {
				if _, err := f.entry.Do(t.Context(), turn(n+1), &sink{}); err != nil {
					t.Error(err)
				}
			})
		}
		calls.Wait()
		f.network.breakAll()
		var failed []bool
		for range 3 {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			_, err := f.client.Heartbeat(ctx, "owner", forwarder.Heartbeat{})
			failed = append(failed, err != nil)
			cancel()
		}
		if diff := cmp.Diff([]bool{true, false, false}, failed); diff != "" {
			t.Error(diff)
		}
	})
}
