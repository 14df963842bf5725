package driver_test

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/driver"
	"github.com/wigeonstand/wigeonstand/internal/fakeengine"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func same(t *testing.T, want, got any) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// mixes returns the mixes of the text.
func mixes(t *testing.T, text string) []driver.Mix {
	t.Helper()
	parsed, err := driver.ParseMixes(text)
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

// oneProgram is a mix of which one program arrives.
func oneProgram(m driver.Mix) driver.Mix {
	m.Name, m.Rate, m.Limit = "one", 10, 1
	return m
}

// talk is a program of three turns without sub-agents.
func talk(t *testing.T) driver.Mix {
	m := oneProgram(mixes(t, "songs=1")[0])
	m.Turns = driver.Range{From: 3, To: 3}
	return m
}

// posting is a program of one service call.
func posting(t *testing.T) driver.Mix { return oneProgram(mixes(t, "fees=1")[0]) }

// drive runs mixes against a stub in a bubble and gives the result to check.
func drive(t *testing.T, s *stub, run []driver.Mix, check func(*testing.T, driver.Result), options ...driver.ClientOption) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		client, end := serve(t, s.handler())
		options = append([]driver.ClientOption{driver.WithHTTPClient(client)}, options...)
		target := driver.NewClient([]string{"http://entry-1", "http://entry-2"}, bearerKey, options...)
		targets := map[string]driver.Target{"laulukaar": target, "binfold": target}
		result := driver.New(targets, driver.WithMixes(run...), driver.WithRun("r"), driver.WithDuration(2*time.Second)).Run(t.Context())
		check(t, result)
		end()
	})
}

func TestWholeRunHasNoViolations(t *testing.T) {
	s := &stub{}
	run := mixes(t, "songs=3,editors=1,trays=2,trims=2,fees=5")
	drive(t, s, run, func(t *testing.T, r driver.Result) {
		same(t, 0, r.ViolationCount)
		same(t, 5, len(r.Mixes))
		sent := 0
		for _, m := range r.Mixes {
			same(t, m.Programs, m.Finished)
			same(t, driver.Tally{Sent: m.Requests.Sent, Whole: m.Requests.Sent}, m.Requests)
			sent += m.Requests.Sent
		}
		same(t, []int{s.requests, s.requests}, []int{sent, r.Attempts})
		same(t, true, s.allEnded())
		for _, call := range r.Calls {
			same(t, 1, s.calls[call.Key])
		}
	})
}

func TestLoadFollowsTheSeed(t *testing.T) {
	var runs [2][]string
	for i, fault := range []string{"", "stall"} {
		s := &stub{strike: onFirst(5, "Turn", fault)}
		drive(t, s, mixes(t, "songs=3,trims=1"), func(*testing.T, driver.Result) { runs[i] = s.sortedInputs() })
	}
	same(t, runs[0], runs[1])
	same(t, true, len(runs[0]) > 10)
}

func TestOutcomesAreKeptApart(t *testing.T) {
	whole := driver.Tally{Sent: 6, Whole: 6}
	// The turn is lost; its program is opened, read and ended.
	cut := func(tally driver.Tally) driver.Tally { tally.Sent, tally.Whole = 4, 3; return tally }
	tests := []struct {
		fault  string
		plain  driver.Tally
		resent driver.Tally
	}{
		{"refuse Overloaded", whole, whole},
		{"refuse BudgetExhausted", cut(driver.Tally{NotRun: 1}), cut(driver.Tally{NotRun: 1})},
		{"refuse EndpointFailed", cut(driver.Tally{Failed: 1}), whole},
		{"refuse NotDurable", cut(driver.Tally{Unknown: 1}), whole},
		{"late refuse", cut(driver.Tally{Failed: 1}), whole},
		{"cut before", cut(driver.Tally{Cut: 1}), whole},
		{"cut", cut(driver.Tally{Cut: 1}), whole},
	}
	for _, test := range tests {
		for i, want := range []driver.Tally{test.plain, test.resent} {
			name := test.fault + []string{"", " resent"}[i]
			t.Run(name, func(t *testing.T) {
				s := &stub{strike: onFirst(1, "Turn", test.fault)}
				options := [][]driver.ClientOption{nil, {driver.WithResend()}}[i]
				drive(t, s, []driver.Mix{talk(t)}, func(t *testing.T, r driver.Result) {
					same(t, want, r.Mixes[0].Requests)
					same(t, []int{0, 1}, []int{r.ViolationCount, r.Mixes[0].Programs})
				}, options...)
			})
		}
	}
}

func TestCallThatMayHaveRunIsNotRepeated(t *testing.T) {
	s := &stub{strike: onFirst(1, "Call", "cut")}
	drive(t, s, []driver.Mix{posting(t)}, func(t *testing.T, r driver.Result) {
		same(t, driver.Tally{Sent: 1, Cut: 1}, r.Mixes[0].Requests)
		same(t, []driver.Call{{Service: "fees", Path: "/postings/r-one-1-c1", Key: "r-one-1-c1", Outcome: driver.Cut}}, r.Calls)
		same(t, 1, s.requests)
	})
}

func TestRefusalAfterACutLeavesTheOutcomeOpen(t *testing.T) {
	faults := []string{"refuse Overloaded", "cut", "refuse Overloaded"}
	s := &stub{strike: func(string) string {
		fault := faults[0]
		faults = append(faults[1:], fault)
		return fault
	}}
	drive(t, s, []driver.Mix{posting(t)}, func(t *testing.T, r driver.Result) {
		same(t, driver.Tally{Sent: 1, Cut: 1}, r.Mixes[0].Requests)
		same(t, 3, r.Attempts)
	}, driver.WithResend(), driver.WithAttempts(3))
}

func TestServicesOwnFailureIsAWholeAnswer(t *testing.T) {
	s := &stub{strike: onFirst(1, "Call", "own 500")}
	drive(t, s, []driver.Mix{posting(t)}, func(t *testing.T, r driver.Result) {
		same(t, driver.Tally{Sent: 1, Whole: 1}, r.Mixes[0].Requests)
		same(t, []int{http.StatusInternalServerError, 0}, []int{r.Calls[0].Status, r.ViolationCount})
	})
}

func TestAttemptsAreBounded(t *testing.T) {
	s := &stub{strike: onFirst(100, "Open", "refuse Overloaded")}
	drive(t, s, []driver.Mix{talk(t)}, func(t *testing.T, r driver.Result) {
		same(t, driver.Tally{Sent: 1, NotRun: 1}, r.Mixes[0].Requests)
		same(t, []driver.KindCount{{Kind: answerer.Overloaded, Count: 1}}, r.Mixes[0].Kinds)
		same(t, 3, r.Attempts)
	}, driver.WithAttempts(3))
}

func TestWrongAnswersAreViolations(t *testing.T) {
	tests := []struct {
		operation string
		fault     string
		want      string
	}{
		{"Turn", "other program", "was answered as turn"},
		{"Turn", "shortened", "chunks differ from the answer"},
		{"Turn", "crossed", "answers another input"},
		{"Turn", "overlap", "gap or an overlap"},
		{"Turn", "same chain", "did not change the chain"},
		{"Turn", "overdrawn", "left -1 tokens"},
		{"Turn", "forgotten", "history differs"},
		{"Turn", "doubled", "history differs"},
		{"Turn", "take and refuse", "history differs"},
		{"Call", "crossed", "does not name it"},
		{"Open", "small", "were spent of a budget of 1"},
	}
	for _, test := range tests {
		t.Run(test.operation+" "+test.fault, func(t *testing.T) {
			run := talk(t)
			if test.operation == "Call" {
				run = posting(t)
			}
			run.Turns.From, run.Turns.To = min(run.Turns.From, 1), min(run.Turns.To, 1)
			s := &stub{strike: onFirst(1, test.operation, test.fault)}
			drive(t, s, []driver.Mix{run}, func(t *testing.T, r driver.Result) {
				var texts []string
				for _, v := range r.Violations {
					texts = append(texts, v.Text)
				}
				if all := strings.Join(texts, "\n"); !strings.Contains(all, test.want) {
					t.Errorf("violations %q, want %q", all, test.want)
				}
			})
		})
	}
}

// While the entry stalls, programs go on arriving, and what they wait counts.
func TestLatencyCountsFromWhenARequestWasDue(t *testing.T) {
	arrived := map[string]int{}
	for _, fault := range []string{"", "stall"} {
		s := &stub{strike: onFirst(10, "Open", fault)}
		drive(t, s, mixes(t, "songs=20"), func(t *testing.T, r driver.Result) {
			arrived[fault] = r.Mixes[0].Programs
			turn := r.Mixes[0].Latencies[1]
			same(t, "Turn", turn.Measure)
			same(t, fault == "stall", turn.Max >= 10*time.Second)
		})
	}
	same(t, arrived[""], arrived["stall"])
}

func TestUnreachableEntryIsPassedOver(t *testing.T) {
	s := &stub{}
	synctest.Test(t, func(t *testing.T) {
		client, end := serve(t, s.handler())
		target := driver.NewClient([]string{"http://gone", "http://entry"}, bearerKey,
			driver.WithHTTPClient(&http.Client{Transport: refusing{client.Transport}}))
		targets := map[string]driver.Target{"laulukaar": target}
		r := driver.New(targets, driver.WithMixes(talk(t)), driver.WithDuration(2*time.Second)).Run(t.Context())
		same(t, driver.Tally{Sent: 6, Whole: 6}, r.Mixes[0].Requests)
		same(t, true, r.Attempts > 6)
		end()
	})
}

// refusing refuses connections to the host "gone".
type refusing struct{ next http.RoundTripper }

func (r refusing) RoundTrip(request *http.Request) (*http.Response, error) {
	if request.URL.Host == "gone" {
		return nil, &net.OpError{Op: "dial", Err: net.ErrClosed}
	}
	return r.next.RoundTrip(request)
}

func TestDirectRunsTheSameLoadOnAnEngine(t *testing.T) {
	s := &stub{}
	var want []string
	drive(t, s, mixes(t, "songs=2"), func(*testing.T, driver.Result) { want = s.sortedInputs() })
	synctest.Test(t, func(t *testing.T) {
		engine := fakeengine.New("engine-1", fakeengine.WithModels("songbird"))
		client, end := serve(t, engine.Handler())
		go engine.Run(t.Context())
		target := driver.NewDirect([]string{"http://engine"}, "songbird", driver.WithDirectHTTPClient(client))
		targets := map[string]driver.Target{"laulukaar": target}
		r := driver.New(targets, driver.WithMixes(mixes(t, "songs=2")...), driver.WithRun("r"),
			driver.WithDuration(2*time.Second)).Run(t.Context())
		same(t, 0, r.ViolationCount)
		same(t, r.Mixes[0].Programs, r.Mixes[0].Finished)
		same(t, len(want), engine.Counts().Completed)
		same(t, 0, len(engine.Holdings().Holdings))
		same(t, r.Mixes[0].Programs, len(r.Ended))
		end()
	})
}

func TestParseMixesRefusesWhatIsNotKnown(t *testing.T) {
	for _, text := range []string{"", "songs", "songs=0", "songs=x", "opera=1"} {
		if _, err := driver.ParseMixes(text); err == nil {
			t.Errorf("%q was accepted", text)
		}
	}
}
