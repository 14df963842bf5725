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

// doer is an owner that takes a while and answers or fails.
type doer struct {
	mu       sync.Mutex
	commands []requester.Command
	ended    []error
	take     time.Duration
	failures []error
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
	case <-time.After(d.take):
	case <-ctx.Done():
		d.mu.Lock()
		d.ended = append(d.ended, ctx.Err())
		d.mu.Unlock()
		return requester.Reply{}, answerer.Wrap(answerer.Canceled, ctx.Err(), "gone")
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

func (d *doer) HandleHeartbeat(beat forwarder.Heartbeat) forwarder.Heartbeat {
	beat.Instance = "owner"
	return beat
}

func (d *doer) Document(_ context.Context, version int64) (int64, []byte, error) {
	return version + 1, []byte("document"), nil
}

type sink struct{ chunks []generator.Chunk }

func (s *sink) Chunk(chunk generator.Chunk) error {
	s.chunks = append(s.chunks, chunk)
	return nil
}

// silenced is a connection whose bytes go nowhere once it is cut.
type silenced struct {
	net.Conn
	cut chan struct{}
}

func (s *silenced) isCut() bool {
	select {
	case <-s.cut:
		return true
	default:
		return false
	}
}

func (s *silenced) Read(b []byte) (int, error) {
	n, err := s.Conn.Read(b)
	for err == nil && s.isCut() {
		n, err = s.Conn.Read(b)
	}
	return n, err
}

func (s *silenced) Write(b []byte) (int, error) {
	if s.isCut() {
		return len(b), nil
	}
	return s.Conn.Write(b)
}

// net carries the connections of one client to one server.
type network struct {
	server *forwarder.Server
	ctx    context.Context
	mu     sync.Mutex
	dials  int
	refuse bool
	conns  []*silenced
	served sync.WaitGroup
}

func (n *network) dial(context.Context, string) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dials++
	if n.refuse {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	n.served.Go(func() { _ = n.server.ServeConn(n.ctx, far) })
	conn := &silenced{Conn: near, cut: make(chan struct{})}
	n.conns = append(n.conns, conn)
	return conn, nil
}

func (n *network) cutAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, conn := range n.conns {
		if !conn.isCut() {
			close(conn.cut)
		}
	}
}

// closeAll ends all connections from the far side's view.
func (n *network) closeAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, conn := range n.conns {
		_ = conn.Close()
	}
}

type placement struct {
	sharder.Placement
	refreshed int
}

func (p *placement) Locate(int) sharder.Placement { return p.Placement }

func (p *placement) Refresh(context.Context) error {
	p.refreshed++
	return nil
}

type fixture struct {
	owner   *doer
	local   *doer
	network *network
	place   *placement
	client  *forwarder.Client
	entry   *forwarder.Forwarder
}

// bubble runs the test in a synctest bubble with an entry and an owner.
func bubble(t *testing.T, test func(t *testing.T, f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{owner: &doer{take: time.Second}, local: &doer{}}
		server, err := forwarder.NewServer(f.owner, f.owner, f.owner)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		f.network = &network{server: server, ctx: ctx}
		f.client = forwarder.NewClient(forwarder.WithDial(f.network.dial))
		f.place = &placement{Placement: sharder.Placement{Instance: "owner", Address: "owner", Ready: true}}
		f.entry = forwarder.New(f.place, f.client, f.local)
		test(t, f)
		f.client.Close()
		cancel()
		f.network.closeAll()
		f.network.served.Wait()
	})
}

func turn(number int) requester.Command {
	return requester.Command{Request: "r", Turn: &requester.Turn{Program: "p", Number: number, Input: "hello"}}
}

func TestDoCarriesChunksReplyAndTimeLeft(t *testing.T) {
	bubble(t, func(t *testing.T, f *fixture) {
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
	bubble(t, func(t *testing.T, f *fixture) {
		beat := forwarder.Heartbeat{Instance: "entry", Generation: 3, Epoch: 4, DocumentVersion: 5, Ready: true, Load: 6}
		got, err := f.client.Heartbeat(t.Context(), "owner", beat)
		beat.Instance = "owner"
		if diff := cmp.Diff(beat, got); diff != "" || err != nil {
			t.Error(diff, err)
		}
		version, body, err := f.client.FetchDocument(t.Context(), "owner", 7)
		if diff := cmp.Diff("document", string(body)); diff != "" || err != nil || version != 8 {
			t.Error(diff, err, version)
		}
		if diff := cmp.Diff(1, f.network.dials); diff != "" {
			t.Error("dials: " + diff)
		}
	})
}

func TestCancellationReachesTheOwner(t *testing.T) {
	bubble(t, func(t *testing.T, f *fixture) {
		f.owner.take = time.Hour
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		_, err := f.entry.Do(ctx, turn(1), &sink{})
		if err == nil {
			t.Error("no error")
		}
		synctest.Wait()
		if diff := cmp.Diff(1, len(f.owner.ended)); diff != "" {
			t.Error(diff)
		}
	})
}

// TestSilentConnectionIsReplaced cuts the connection under a turn. The turn is
// sent again on a new connection and the caller gets each chunk once.
func TestSilentConnectionIsReplaced(t *testing.T) {
	bubble(t, func(t *testing.T, f *fixture) {
		f.owner.take = 2 * time.Second
		time.AfterFunc(time.Second, f.network.cutAll)
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

func TestLostAnswerIsNeverCalledNotRun(t *testing.T) {
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
			bubble(t, func(t *testing.T, f *fixture) {
				f.owner.take = time.Hour
				for _, after := range []time.Duration{time.Second, 8 * time.Second} {
					time.AfterFunc(after, f.network.cutAll)
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

func TestUndeliveredMeansNotRun(t *testing.T) {
	bubble(t, func(t *testing.T, f *fixture) {
		f.network.refuse = true
		_, err := f.entry.Do(t.Context(), turn(1), &sink{})
		if diff := cmp.Diff(answerer.OwnerUnavailable, answerer.KindOf(err)); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff(2, f.network.dials); diff != "" {
			t.Error("dials: " + diff)
		}
	})
}

func TestMovedIsRefreshedAndTriedOnce(t *testing.T) {
	for _, test := range []struct {
		name  string
		moved int
		want  answerer.Kind
	}{{"Once", 1, ""}, {"Twice", 2, answerer.Moved}} {
		t.Run(test.name, func(t *testing.T) {
			bubble(t, func(t *testing.T, f *fixture) {
				for range test.moved {
					f.owner.failures = append(f.owner.failures, answerer.New(answerer.Moved, "elsewhere"))
				}
				_, err := f.entry.Do(t.Context(), turn(1), &sink{})
				var kind answerer.Kind
				if err != nil {
					kind = answerer.KindOf(err)
				}
				if diff := cmp.Diff(test.want, kind); diff != "" {
					t.Error(diff)
				}
				if diff := cmp.Diff(1, f.place.refreshed); diff != "" {
					t.Error("refreshed: " + diff)
				}
			})
		})
	}
}

func TestErrorsKeepTheirKindAndTimes(t *testing.T) {
	bubble(t, func(t *testing.T, f *fixture) {
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
		if diff := cmp.Diff(1, f.network.dials); diff != "" {
			t.Error("the connection was not used again: " + diff)
		}
	})
}

// arriving is a shard that becomes local after some placements were asked for.
type arriving struct {
	placement
	after int
}

func (a *arriving) Locate(int) sharder.Placement {
	a.after--
	return sharder.Placement{Instance: "owner", Local: a.after < 0}
}

func TestLocalWaitsForItsOwnShardsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		doer := &doer{}
		local := forwarder.NewLocalDoer("owner", &arriving{after: 10}, doer)
		if _, err := local.Do(t.Context(), turn(1), &sink{}); err != nil {
			t.Error(err)
		}
		other := &placement{Placement: sharder.Placement{Instance: "other", Address: "other", Ready: true}}
		_, err := forwarder.NewLocalDoer("owner", other, doer).Do(t.Context(), turn(1), &sink{})
		detail := fmt.Sprintf("shard %d is with %q", requester.ShardOf("p"), "other")
		want := answerer.Error{Kind: answerer.Moved, Detail: detail, Owner: "other"}
		if diff := cmp.Diff(want, *answerer.As(err)); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff(1, other.refreshed); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff(1, doer.count()); diff != "" {
			t.Error(diff)
		}
	})
}

// TestOneSilentConnectionCondemnsTheIdleOnes cuts several idle connections: one
// failure is enough for all of them to be replaced.
func TestOneSilentConnectionCondemnsTheIdleOnes(t *testing.T) {
	bubble(t, func(t *testing.T, f *fixture) {
		var calls sync.WaitGroup
		for n := range 5 {
			calls.Go(func() {
				if _, err := f.entry.Do(t.Context(), turn(n+1), &sink{}); err != nil {
					t.Error(err)
				}
			})
		}
		calls.Wait()
		f.network.cutAll()
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
