package caller_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/generator"
	"github.com/wigeonstand/wigeonstand/internal/receiver"
	"github.com/wigeonstand/wigeonstand/internal/requester"
	"github.com/wigeonstand/wigeonstand/pkg/caller"
)

// owner replies to commands. A turn with the input "panic" panics after its first
// chunk.
type owner struct{}

func (owner) Do(_ context.Context, command requester.Command, sink requester.Sink) (requester.Reply, error) {
	switch {
	case command.Open != nil:
		return requester.Reply{Open: &requester.OpenReply{Program: command.Open.Program}}, nil
	case command.Turn != nil:
		if err := sink.Chunk(generator.Chunk{Text: "hi", Tokens: 1}); err != nil || command.Turn.Input == "panic" {
			panic(command.Turn.Input)
		}
		return requester.Reply{Turn: &requester.TurnReply{Text: "hi", Number: 1, Chain: "c1"}}, nil
	case command.Call != nil:
		return requester.Reply{Call: &requester.CallReply{Key: command.Call.Key, Status: http.StatusCreated, Body: command.Call.Body}}, nil
	case command.History != nil:
		return requester.Reply{History: &requester.HistoryPage{Agent: "host", Turns: []requester.TurnView{{Number: 1, Text: "hi"}}}}, nil
	case command.Outcome != nil:
		return requester.Reply{Outcome: &requester.OutcomeView{Key: command.Outcome.Key, State: "Done", Body: []byte("x")}}, nil
	}
	return requester.Reply{}, answerer.New(answerer.ProgramEnded, "the program has ended")
}

// newServedClient serves a receiver over loopback and returns a client whose first
// entry refuses connections and whose second one is the receiver.
func newServedClient(t *testing.T) *caller.Client {
	t.Helper()
	sum := sha256.Sum256([]byte("key"))
	version := &compiler.Version{
		Businesses: map[string]*compiler.Business{"b": {Name: "b", KeyHashes: []string{hex.EncodeToString(sum[:])}}},
		Services:   map[string]*compiler.Service{"fees": {Name: "fees"}},
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() {
		done <- receiver.New(owner{}, func() *compiler.Version { return version }).Serve(ctx, listener)
	}()
	c, err := caller.New([]string{"http://127.0.0.1:1", "http://" + listener.Addr().String()}, "key")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		c.Close()
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return c
}

func TestClientAgainstReceiver(t *testing.T) {
	c := newServedClient(t)
	p, err := c.Open(t.Context(), "host")
	if err != nil {
		t.Fatal(err)
	}
	text, answer, err := readStream(t.Context(), p)
	if diff := cmp.Diff([]string{"hi", "hi", "c1"}, []string{text, answer.Text, answer.Chain}); diff != "" || err != nil {
		t.Errorf("error %v: %s", err, diff)
	}
	history, err := p.History(t.Context(), 0)
	if diff := cmp.Diff(caller.History{Agent: "host", Turns: []caller.Turn{{Number: 1, Text: "hi"}}}, history); diff != "" || err != nil {
		t.Errorf("error %v: %s", err, diff)
	}
	result, err := c.Call(t.Context(), "fees", http.MethodPost, "/post", caller.WithCallKey("k"), caller.WithBody("text/plain", []byte("x")))
	if diff := cmp.Diff(caller.Result{Key: "k", Status: http.StatusCreated, Body: []byte("x")}, result); diff != "" || err != nil {
		t.Errorf("error %v: %s", err, diff)
	}
	outcome, err := c.Outcome(t.Context(), "k")
	if diff := cmp.Diff(caller.Outcome{Key: "k", State: "Done", Body: []byte("x")}, outcome); diff != "" || err != nil {
		t.Errorf("error %v: %s", err, diff)
	}
	_, err = p.End(t.Context())
	var refused *caller.Error
	if !errors.As(err, &refused) || refused.Kind != "ProgramEnded" || refused.Ran != caller.NotRun || refused.Request == "" {
		t.Error(err)
	}
}

func TestStreamIsCutWhenTheInstanceFails(t *testing.T) {
	c := newServedClient(t)
	s, err := c.Program("p1").Stream(t.Context(), "panic")
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for s.Next() {
		if diff := cmp.Diff("hi", s.Chunk().Text); diff != "" {
			t.Error(diff)
		}
	}
	var cut *caller.Error
	if !errors.As(s.Err(), &cut) || cut.Kind != caller.KindCut || cut.Ran != caller.Unknown {
		t.Error(s.Err())
	}
}
