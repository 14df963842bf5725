package composer_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/fakeplatform"
	"github.com/wigeonstand/wigeonstand/platform/standin"
)

// configDeadline is the users' time within which a configuration is in force at instances that
// can reach the store.
const configDeadline = 3 * time.Second

// accounts returns two accounts. Only acme has a priority.
func accounts(acmeKeys, otherKeys []string) []standin.Account {
	highest := 0
	return []standin.Account{{Name: "acme", Keys: acmeKeys, Priority: &highest}, {Name: "other", Keys: otherKeys}}
}

func newAccountFleet(t *testing.T, instances int) *fleet {
	t.Helper()
	f := newFleet(t, instances, 2, 2)
	f.writeAccounts(2, []string{"sk-acme-1"}, []string{"sk-other-1"})
	for _, in := range f.instances {
		f.awaitStatus(in, "", http.StatusUnauthorized) // Until then keys are neither needed nor dropped.
	}
	return f
}

func (f *fleet) writeAccounts(version int, acmeKeys, otherKeys []string) {
	f.t.Helper()
	if err := standin.WriteAccounts(f.rows, version, accounts(acmeKeys, otherKeys)); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) statusOf(in *instance, key string) int {
	return f.do(in, standin.Call{ID: fmt.Sprint("s-", time.Now().UnixNano()), Path: standin.PathLookup + "x", Key: key}).Status
}

// awaitStatus waits until the instance answers a request with the key with the status.
func (f *fleet) awaitStatus(in *instance, key string, want int) {
	f.t.Helper()
	f.await(fmt.Sprint(in.name, " answers ", key, " with ", want), func() bool { return f.statusOf(in, key) == want })
}

// checkAccounts checks that all endpoints got the account's name and never a key, and that no key is
// in a log line. It returns the number of runs.
func (f *fleet) checkAccounts(accountOf func(id string) (account string, isKnown bool)) int {
	f.t.Helper()
	n := 0
	for _, e := range append(append([]*standin.Endpoint(nil), f.engines...), f.services...) {
		for id := range e.RunCounts() {
			for _, run := range e.Runs(id) {
				n++
				if want, isKnown := accountOf(id); isKnown && run.Account != want {
					f.t.Errorf("%s ran as a request of %q, want %q", id, run.Account, want)
				}
				if run.HasCredentials {
					f.t.Errorf("%s: the endpoint got the key", id)
				}
			}
		}
	}
	if strings.Contains(string(f.log.bytes()), "sk-") {
		f.t.Error("a log line has a key")
	}
	return n
}

// Guards against a path on which endpoints get another account's name, none, or the key: first
// sends, retries, resumptions and tunnels, with a name that the caller has forged.
func TestEndpointsGetTheAccountOnAllPaths(t *testing.T) {
	f := newCutFleet(t)
	f.writeAccounts(2, []string{"sk-acme-1", "sk-acme-2"}, []string{"sk-other-1"})
	for _, in := range f.instances {
		f.awaitStatus(in, "", http.StatusUnauthorized) // Until then keys are neither needed nor dropped.
	}
	for _, e := range f.engines {
		e.SetFaults(standin.EndpointFaults{Truncated: 0.2, Rejected: 0.1})
	}
	for _, e := range f.services {
		e.SetFaults(standin.EndpointFaults{Dropped: 0.1, Rejected: 0.2})
	}
	f.links[f.instances[0].name].set(cutRefusing, everything(f))
	keys := map[string]string{"acme": "sk-acme-2", "other": "sk-other-1"}
	runConcurrently(8, func(worker int) {
		account := []string{"acme", "other"}[worker%2]
		for i := range 30 {
			call := standin.Call{
				ID: fmt.Sprintf("%s/%d-%d", account, worker, i), Path: []string{standin.PathLookup, standin.PathPost, standin.PathSession, standin.PathRetained, standin.PathPublic}[i%5] + "x",
				Key: keys[account], ForgedAccount: "forged",
			}
			if call.Path == standin.PathSession+"x" || call.Path == standin.PathRetained+"x" {
				call.Program, call.Budget, call.MaxTokens = call.ID, 2000, 100
			}
			f.do(f.instances[(worker/2+i)%len(f.instances)], call)
		}
	})
	resumed := 0
	for _, e := range f.engines {
		for id := range e.RunCounts() {
			for _, run := range e.Runs(id) {
				if run.ResumeAfter > 0 {
					resumed++
				}
			}
		}
	}
	n := f.checkAccounts(func(id string) (string, bool) {
		account, _, isKnown := strings.Cut(id, "/")
		return account, isKnown
	})
	t.Logf("%d runs, %d of them resumed", n, resumed)
	if n < 200 || resumed == 0 {
		t.Errorf("%d runs, %d of them resumed; too few to tell", n, resumed)
	}
}

// Guards against requests without a known key that run, a name that the caller chooses on a public
// route, and a rank by the route of an account that has its own.
func TestKeysAreRequiredExceptOnPublicRoutes(t *testing.T) {
	t.Parallel()
	f := newAccountFleet(t, 1)
	for _, tc := range []struct {
		id, path, key string
		want          int
		account       string
	}{
		{"no-key", standin.PathLookup, "", http.StatusUnauthorized, ""},
		{"unknown-key", standin.PathPost, "sk-nobody", http.StatusUnauthorized, ""},
		{"unknown-turn", standin.PathRetained, "sk-nobody", http.StatusUnauthorized, ""},
		{"public", standin.PathPublic, "", http.StatusOK, ""},
		{"public-unknown", standin.PathPublic, "sk-nobody", http.StatusOK, ""},
		{"public-known", standin.PathPublic, "sk-acme-1", http.StatusOK, "acme"},
		{"long", standin.PathLookup, strings.Repeat("k", 60<<10), http.StatusUnauthorized, ""},
	} {
		reply := f.do(f.instances[0], standin.Call{ID: tc.id, Path: tc.path + "x", Key: tc.key, ForgedAccount: "acme"})
		if diff := cmp.Diff(tc.want, reply.Status); diff != "" {
			t.Error(tc.id, diff)
		}
		var runs []standin.Run
		for _, e := range append(append([]*standin.Endpoint(nil), f.engines...), f.services...) {
			runs = append(runs, e.Runs(tc.id)...)
		}
		if (len(runs) > 0) != (tc.want == http.StatusOK) || (len(runs) > 0 && (runs[0].Account != tc.account || runs[0].HasCredentials)) {
			t.Errorf("%s: %+v", tc.id, runs)
		}
	}
	// The route's priority is 1. A quarter of the programs of other precede as those of acme do.
	ranks := map[string]map[string]int{"acme": {}, "other": {}}
	for account, counts := range ranks {
		for i := range 20 {
			call := turnCall(fmt.Sprint("rank-", account, i), fmt.Sprint("rank-", account, i), "", "in")
			call.Key = "sk-" + account + "-1"
			f.doUntilAccepted(f.instances[0], call)
			for _, e := range f.engines {
				for _, run := range e.Runs(call.ID) {
					counts[run.Priority]++
				}
			}
		}
	}
	if ranks["acme"]["4"] != 20 || ranks["other"]["4"] > 10 || ranks["other"]["4"]+ranks["other"]["5"] != 20 {
		t.Errorf("ranks %v", ranks)
	}
}

// Guards against turns that another account reads by continuing them, from the cache or from the
// store, and against turns from before the accounts that are lost.
func TestTurnsBelongToTheirAccount(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, 1, 0)
	if reply := f.doUntilAccepted(f.instances[0], turnCall("before", "p-0", "", "in\n")); reply.Status != http.StatusOK {
		t.Fatalf("%+v", reply)
	}
	f.writeAccounts(2, []string{"sk-acme-1"}, []string{"sk-other-1"})
	turn := func(in int, id, previous, key string, want int) {
		t.Helper()
		call := turnCall(id, "p-"+id, previous, "in\n")
		call.Key = key
		var reply standin.Reply
		f.await(id+" is answered", func() bool {
			reply = f.do(f.instances[in], call)
			return !reply.IsNotRun() && (reply.Status != http.StatusUnauthorized || want == reply.Status)
		})
		if diff := cmp.Diff(want, reply.Status); diff != "" {
			t.Error(id, diff)
		}
	}
	for _, in := range f.instances {
		f.await(in.name+" knows the accounts", func() bool {
			return f.do(in, standin.Call{ID: "a-" + in.name, Path: standin.PathPost + "x"}).Status == http.StatusUnauthorized
		})
	}
	turn(0, "first", "", "sk-acme-1", http.StatusOK)
	for in := range 2 { // The first instance has the turn in its cache.
		turn(in, fmt.Sprint("theirs-", in), "first", "sk-other-1", http.StatusNotFound)
		turn(in, fmt.Sprint("own-", in), "first", "sk-acme-1", http.StatusOK)
		turn(in, fmt.Sprint("old-acme-", in), "before", "sk-acme-1", http.StatusOK)
		turn(in, fmt.Sprint("old-other-", in), "before", "sk-other-1", http.StatusOK)
	}
	if _, ran := f.executedBody("theirs-0"); ran {
		t.Error("a turn that continues another account's ran")
	}
}

// Guards against keys that are valid for too long after they have been withdrawn, at instances
// that the store refuses, after a restart, and at instances that start without the store; and
// against new keys that take too long.
func TestWithdrawnKeysAreInvalidEverywhere(t *testing.T) {
	f := newAccountFleet(t, 3)
	f.rows.SetFaults(fakeplatform.RowFaults{Refused: map[string]bool{"entry-2": true}})
	<-time.After(configDeadline) // The refused instance has found another way to the store.
	check := func(version int, acmeKeys, otherKeys []string, withdrawn string) {
		f.writeAccounts(version, acmeKeys, otherKeys)
		deadline := time.Now().Add(configDeadline)
		for _, in := range f.instances {
			for _, key := range append(append([]string{}, acmeKeys...), otherKeys...) {
				f.awaitStatus(in, key, http.StatusOK)
			}
			f.awaitStatus(in, withdrawn, http.StatusUnauthorized)
		}
		if late := time.Since(deadline); late > 0 {
			t.Errorf("version %d was in force everywhere %v after the deadline", version, late)
		}
	}
	check(3, nil, []string{"sk-other-1", "sk-other-2"}, "sk-acme-1") // The last key of an account.
	check(4, []string{"sk-acme-2"}, []string{"sk-other-2"}, "sk-other-1")
	check(5, []string{"sk-acme-2", "sk-acme-3"}, nil, "sk-other-2")

	// An instance starts without the store and uses the copy of another one.
	f.rows.SetFaults(fakeplatform.RowFaults{Outage: true})
	late := f.startWithSeeds("entry-9", f.instances[0].settings.PeerAddress, f.instances[1].settings.PeerAddress, f.instances[2].settings.PeerAddress)
	f.awaitStatus(late, "sk-acme-2", http.StatusOK)
	// A copy may be older than the newest configuration, so that it denies no key for good.
	withdrawn := []string{"sk-acme-1", "sk-other-1", "sk-other-2"}
	for _, key := range withdrawn {
		if diff := cmp.Diff(http.StatusServiceUnavailable, f.statusOf(late, key)); diff != "" {
			t.Error(key, diff)
		}
	}
	f.rows.SetFaults(fakeplatform.RowFaults{})
	for _, key := range withdrawn {
		f.await(key+" is denied", func() bool {
			status := f.statusOf(late, key)
			if status != http.StatusUnauthorized && status != http.StatusServiceUnavailable {
				t.Errorf("%s: status %d", key, status)
			}
			return status == http.StatusUnauthorized
		})
	}
	if diff := cmp.Diff(http.StatusOK, f.statusOf(late, "sk-acme-2")); diff != "" {
		t.Error(diff)
	}
	f.checkAccounts(func(string) (string, bool) { return "", false })
}

// Guards against an instance that accepts keys although they may have been revoked, in a
// deployment that forbids it, and one that goes on refusing them after the store is back.
func TestStrictInstancesRefuseUnconfirmedKeys(t *testing.T) {
	f := newAccountFleet(t, 1)
	strict := f.startWithSettings("entry-strict", func(s *settings) {
		s.RevokeStrict, s.RevokeDeadline = true, time.Second
		s.ConfigurationDeadline = time.Minute // The lack of a key is refused as confirmed.
	})
	f.awaitStatus(strict, "sk-acme-1", http.StatusOK)
	f.rows.SetFaults(fakeplatform.RowFaults{Outage: true})
	f.awaitStatus(strict, "sk-acme-1", http.StatusServiceUnavailable)
	if diff := cmp.Diff(http.StatusUnauthorized, f.statusOf(strict, "")); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(http.StatusOK, f.statusOf(f.instances[0], "sk-acme-1")); diff != "" {
		t.Errorf("the lenient instance: %s", diff)
	}
	f.rows.SetFaults(fakeplatform.RowFaults{})
	f.awaitStatus(strict, "sk-acme-1", http.StatusOK)
}

// Guards against a refusal that waits for a body that the caller has not sent yet.
func TestUnknownKeysAreRefusedBeforeTheBodyArrives(t *testing.T) {
	t.Parallel()
	f := newAccountFleet(t, 1)
	for _, length := range []string{"Content-Length: 1000", "Content-Length: 900000", "Transfer-Encoding: chunked"} {
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", f.instances[0].settings.CallerListen.String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() }) // The test is over.
		_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
		head := "POST " + standin.PathPost + "x HTTP/1.1\r\nHost: " + standin.Host + "\r\nAuthorization: Bearer sk-nobody\r\n" + standin.HeaderID + ": r\r\n" + length + "\r\n\r\n"
		if _, err := conn.Write([]byte(head)); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatalf("%s: %v", length, err)
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusUnauthorized || response.Header.Get("WWW-Authenticate") != "Bearer" {
			t.Errorf("%s: %d %v", length, response.StatusCode, response.Header)
		}
	}
}

// Guards against keys that are valid for too long, or new ones that are not in time, while the
// store rejects a third of the instances, now these and now those, or leaves them without answers.
func TestKeysTakeEffectWhileTheStoreRejectsAThird(t *testing.T) {
	for name, fault := range map[string]func(rejected map[string]bool) fakeplatform.RowFaults{
		"rejected": func(rejected map[string]bool) fakeplatform.RowFaults {
			return fakeplatform.RowFaults{Refused: rejected}
		},
		"unanswered": func(rejected map[string]bool) fakeplatform.RowFaults {
			return fakeplatform.RowFaults{Unanswered: rejected}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const steps, stepLength, rotation = 4, 3600 * time.Millisecond, 1700 * time.Millisecond
			f := newAccountFleet(t, 3)
			key := func(step int) string { return fmt.Sprint("sk-acme-", step+1) }
			start := time.Now()
			slowest := time.Duration(0)
			for step := 1; step <= steps; step++ {
				f.writeAccounts(2+step, []string{key(step)}, []string{"sk-other-1"})
				written := time.Now()
				pending := map[*instance]bool{f.instances[0]: true, f.instances[1]: true, f.instances[2]: true}
				for time.Since(written) < stepLength {
					n := int(time.Since(start)/rotation) % len(f.instances)
					f.rows.SetFaults(fault(map[string]bool{f.instances[n].name: true}))
					for _, in := range f.instances {
						sentAt := time.Now()
						isOldValid, isNewValid := f.statusOf(in, key(step-1)) == http.StatusOK, f.statusOf(in, key(step)) == http.StatusOK
						if pending[in] && isNewValid && !isOldValid {
							delete(pending, in)
							slowest = max(slowest, sentAt.Sub(written))
						}
						if sentAt.Sub(written) > configDeadline && (isOldValid || !isNewValid) {
							t.Errorf("%s, %v after version %d: the old key is valid: %v, the new one: %v", in.name, sentAt.Sub(written), 2+step, isOldValid, isNewValid)
						}
					}
					<-time.After(20 * time.Millisecond)
				}
			}
			t.Logf("in force everywhere after %v at most", slowest)
		})
	}
}
