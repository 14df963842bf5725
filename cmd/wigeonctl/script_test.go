package main

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/wigeonstand/wigeonstand/internal/administrator"
	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/publisher"
	"github.com/wigeonstand/wigeonstand/internal/requester"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"wigeonctl": main})
}

// apiServer serves the operators' API over an in-memory store, one for each script.
type apiServer struct {
	store    *store
	follower *publisher.Follower
	api      http.Handler
	// lose is the number of requests to carry out without sending the response.
	lose atomic.Int32
}

func newAPIServer(ctx context.Context) (*apiServer, error) {
	s := &apiServer{store: newStore()}
	s.follower = publisher.NewFollower(s.store, s.store, publisher.WithInterval(10*time.Millisecond))
	if err := s.follower.Start(ctx); err != nil {
		return nil, err
	}
	p := publisher.New(s.store, s.store, publisher.WithTimeout(100*time.Millisecond),
		publisher.WithOnAccepted(func(version int64) { s.follower.ObserveVersion(version, "") }))
	s.api = administrator.New(p, s.follower, administrator.WithFleet(s), administrator.WithDoer(fakeDoer{}),
		administrator.WithEndpointLister(s), administrator.WithBootstrapKeyHash(compiler.HashKey("bootstrap-key")))
	return s, nil
}

// ServeHTTP implements http.Handler. It aborts the connection of a response to lose.
func (s *apiServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet || s.lose.Add(-1) < 0 {
		s.api.ServeHTTP(w, r)
		return
	}
	s.api.ServeHTTP(httptest.NewRecorder(), r)
	panic(http.ErrAbortHandler)
}

func (s *apiServer) Instances(context.Context) ([]administrator.Instance, error) {
	return []administrator.Instance{{
		Name: "entry-1", Address: netip.MustParseAddrPort("127.0.0.1:7103"), DataCentre: "dc-1",
		Version: s.follower.Current().Number, Reachable: true, Programs: 1,
	}}, nil
}

func (s *apiServer) Do(context.Context, string, requester.Command) (requester.Reply, error) {
	return requester.Reply{List: &requester.ListReply{
		Programs: []requester.Explanation{{Program: "p-1", Business: "acme", Agent: "chat", State: "Idle", Turns: 2, Spent: 30, Budget: 100}},
		Outcomes: []requester.OutcomeView{{Key: "k-1", Service: "post", State: "Unknown"}},
	}}, nil
}

func (s *apiServer) Drain(context.Context, string) error { return nil }

func (s *apiServer) Endpoints(context.Context) ([]administrator.Endpoint, error) {
	return []administrator.Endpoint{{
		Name: "e-1", Address: netip.MustParseAddrPort("127.0.0.1:9001"), DataCentre: "dc-1",
		Models: []string{"m-1"}, State: "Healthy", Running: 1, Slots: 4,
	}}, nil
}

// fakeDoer answers commands on programs and calls.
type fakeDoer struct{}

func (fakeDoer) Do(_ context.Context, command requester.Command, _ requester.Sink) (requester.Reply, error) {
	switch {
	case command.End != nil:
		return requester.Reply{End: &requester.EndReply{Program: command.End.Program, Reason: command.End.Reason, Spent: 30}}, nil
	case command.Resolve != nil:
		return requester.Reply{Outcome: &requester.OutcomeView{Key: command.Resolve.Key, State: "Resolved"}}, nil
	default:
		return requester.Reply{Explain: &requester.Explanation{Program: command.Explain.Program, Business: "acme", Agent: "chat", State: "Queued", Position: 3}}, nil
	}
}

type apiServerKey struct{}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Setup: setUp,
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"outage": func(ts *testscript.TestScript, _ bool, args []string) {
				ts.Value(apiServerKey{}).(*apiServer).store.setDown(args[0] == "on")
			},
			"lose": func(ts *testscript.TestScript, _ bool, args []string) {
				ts.Value(apiServerKey{}).(*apiServer).lose.Store(int32(len(args)))
			},
		},
	})
}

func setUp(env *testscript.Env) error {
	ctx, cancel := context.WithCancel(context.Background())
	s, err := newAPIServer(ctx)
	if err != nil {
		cancel()
		return err
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.follower.Run(ctx)
	}()
	server := httptest.NewServer(s)
	env.Defer(func() {
		server.Close()
		cancel()
		<-done
	})
	env.Values[apiServerKey{}] = s
	env.Setenv("WIGEON_ADDRESS", server.URL)
	env.Setenv("WIGEON_KEY_FILE", "operator.key")
	return nil
}

func TestExitCodes(t *testing.T) {
	s, err := newAPIServer(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(s)
	defer server.Close()
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	key, wrong := file("key", "bootstrap-key"), file("wrong", "other")
	policy, other := file("policy.yaml", "Policy: {QueueLimit: 1}\n"), file("other.yaml", "Policy: {QueueLimit: 2}\n")
	sound := file("sound.json", `{"version": 1, "limits": {"max_body_bytes": 1}}`)
	warned, broken := file("warned.json", `{"version": 1}`), file("broken.json", `{`)
	cases := []struct {
		args []string
		lose int32
		down bool
		want int
	}{
		{args: []string{"--key-file", key, "apply", policy}, want: codeDone},
		{args: []string{"--key-file", wrong, "status"}, want: codeRefused},
		{args: []string{"check", policy, policy}, want: codeRefused},
		{args: []string{"check", sound}, want: codeDone},
		{args: []string{"check", warned}, want: codeWarnings},
		{args: []string{"check", broken}, want: codeErrors},
		{args: []string{"check", sound, "--against", broken}, want: codeErrors},
		{args: []string{"check", sound, "--against", sound}, want: codeErrors},
		{args: []string{"--key-file", key, "apply"}, want: codeUsage},
		{args: []string{"apply", "--colour", policy}, want: codeUsage},
		{args: []string{"--key-file", key, "edit", "Policy", other}, want: codeConflict},
		{args: []string{"--key-file", key, "edit", "--base-revision", "1", "Policy", other}, down: true, want: codeUnreachable},
		{args: []string{"--key-file", key, "--address", "http://127.0.0.1:1", "status"}, want: codeUnreachable},
		{args: []string{"--key-file", key, "--timeout", "1s", "edit", "--base-revision", "1", "Policy", other}, lose: 99, want: codeUnknown},
	}
	for _, c := range cases {
		s.lose.Store(c.lose)
		s.store.setDown(c.down)
		var stdout, stderr strings.Builder
		args := append([]string{"wigeonctl"}, c.args...)
		if !slices.Contains(args, "--address") {
			args = slices.Insert(args, 1, "--address", server.URL)
		}
		if diff := cmp.Diff(c.want, run(t.Context(), args, &stdout, &stderr)); diff != "" {
			t.Errorf("%v: %s%s", c.args, diff, stderr.String())
		}
	}
}
