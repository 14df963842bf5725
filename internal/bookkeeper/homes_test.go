package bookkeeper_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/bookkeeper"
	"github.com/wigeonstand/wigeonstand/internal/discoverer"
)

// sessionTurn runs a turn of the session, which the endpoint serves, and returns the
// home that was known before it.
func (s *dataCentre) sessionTurn(t *testing.T, client int, turn, session, endpoint string) (home string, member discoverer.Member) {
	t.Helper()
	out, member, err := s.clients[client].Open(t.Context(), bookkeeper.OpenRequest{
		Program: "p", Turn: turn, Tokens: turnTokens, Budget: 100 * turnTokens, Wait: time.Second, Session: session,
	})
	if err != nil || out.Status != bookkeeper.OK {
		t.Fatalf("%s: %+v, %v", turn, out, err)
	}
	in := bookkeeper.CloseRequest{Program: "p", Turn: turn, Used: 70, Session: session, Endpoint: endpoint}
	if err := s.clients[client].Close(t.Context(), member, in); err != nil {
		t.Fatal(err)
	}
	return out.Home, member
}

// Each session continues at the endpoint that served its last turn, wherever its turns
// arrive, and a sub-agent starts where its parent was served.
func TestSessionsKeepTheirHomes(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		s := newDataCentre(t, f, 4)
		var got []string
		turn := func(client int, session, endpoint string) {
			home, _ := s.sessionTurn(t, client, fmt.Sprintf("turn %d", len(got)), session, endpoint)
			got = append(got, home)
		}
		turn(0, "main", "e-1")
		turn(1, "main", "e-1")
		turn(2, "sub-agent", "e-2")
		turn(3, "main", "")
		turn(0, "main", "e-3")
		turn(1, "main", "e-3")
		turn(2, "sub-agent", "e-2")
		if diff := cmp.Diff([]string{"", "e-1", "e-1", "e-1", "e-1", "e-3", "e-2"}, got); diff != "" {
			t.Error(diff)
		}
		// Sub-agents without end take a bounded memory, and the main line goes on.
		for i := range 100 {
			s.sessionTurn(t, 0, fmt.Sprintf("sub-agent turn %d", i), fmt.Sprintf("sub-agent %d", i), "e-4")
		}
		if home, _ := s.sessionTurn(t, 0, "after them", "main", "e-3"); home == "" {
			t.Error("the program has no home")
		}
	})
}

// A turn that its home failed came again after the time for which the endpoint is avoided, and
// went to its home.
func TestTurnLeavesTheHomeThatFailedIt(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		s := newDataCentre(t, f, 2)
		_, member := s.sessionTurn(t, 0, "served", "main", "e-1")
		in := bookkeeper.CloseRequest{Program: "p", Turn: "fails", Session: "main", FailedEndpoint: "e-1"}
		if err := s.clients[0].Close(t.Context(), member, in); err != nil {
			t.Fatal(err)
		}
		if home, _ := s.sessionTurn(t, 1, "again", "main", "e-2"); home != "" {
			t.Errorf("the home is still %s", home)
		}
		in.Turn = "fails elsewhere"
		if err := s.clients[0].Close(t.Context(), member, in); err != nil {
			t.Fatal(err)
		}
		if home, _ := s.sessionTurn(t, 1, "next", "main", "e-2"); home != "e-2" {
			t.Errorf("home %q after a failure elsewhere, want e-2", home)
		}
	})
}

// A turn that failed at an endpoint that was not its home could be placed there again by hash,
// once the endpoint was avoided no more. Endpoints that failed a session's turn are known until
// the session is served, and to the bookkeeper's successor.
func TestEndpointsThatFailedATurnAreKnown(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		s := newDataCentre(t, f, 2)
		attempt := func(turn, session, endpoint, failed string) []string {
			out, member, err := s.clients[0].Open(t.Context(), bookkeeper.OpenRequest{
				Program: "p", Turn: turn, Tokens: turnTokens, Budget: 100 * turnTokens, Wait: time.Second, Session: session,
			})
			if err != nil || out.Status != bookkeeper.OK {
				t.Fatalf("%s: %+v, %v", turn, out, err)
			}
			in := bookkeeper.CloseRequest{Program: "p", Turn: turn, Session: session, Endpoint: endpoint, FailedEndpoint: failed}
			if err := s.clients[0].Close(t.Context(), member, in); err != nil {
				t.Fatal(err)
			}
			return out.Failed
		}
		got := [][]string{
			attempt("1", "main", "", "e-1"), attempt("2", "main", "", "e-2"), attempt("3", "main", "", "e-1"),
			attempt("4", "sub-agent", "e-3", ""), attempt("5", "main", "e-3", ""), attempt("6", "main", "e-3", ""),
		}
		if diff := cmp.Diff([][]string{nil, {"e-1"}, {"e-1", "e-2"}, nil, {"e-2", "e-1"}, nil}, got); diff != "" {
			t.Error(diff)
		}
		// Failures without end take a bounded memory.
		for i := range 100 {
			attempt(fmt.Sprintf("failing %d", i), "main", "", fmt.Sprintf("e-%d", i))
		}
		if diff := cmp.Diff([]string{"e-96", "e-97", "e-98", "e-99"}, attempt("last", "main", "", "")); diff != "" {
			t.Error(diff)
		}
	})
}

// A planned stop of the bookkeeper hands the homes over.
func TestHomesAreHandedOver(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		s := newDataCentre(t, f, 4)
		_, keeper := s.sessionTurn(t, 0, "first", "main", "e-1")
		for i, m := range s.members {
			if m.Self().Instance != keeper.Instance {
				continue
			}
			if err := m.Deregister(t.Context()); err != nil {
				t.Fatal(err)
			}
			if err := s.clients[i].HandOver(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		s.refresh(t)
		client := 0
		if s.members[0].Self().Instance == keeper.Instance {
			client = 1
		}
		home, next := s.sessionTurn(t, client, "second", "main", "e-1")
		if diff := cmp.Diff("e-1", home); diff != "" || next.Instance == keeper.Instance {
			t.Errorf("at %s after %s: %s", next.Instance, keeper.Instance, diff)
		}
	})
}
