package composer_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/composer"
	"github.com/wigeonstand/wigeonstand/internal/sender"
	"github.com/wigeonstand/wigeonstand/platform/standin"
)

const (
	// cutSettle is the users' stable window: how long after a cut began callers may be
	// served worse at the instances that are cut off.
	cutSettle = 3 * time.Second
	// cutFailures and cutFailureDivisor are the rule's: so many of all first attempts may
	// fail there, and one in so many more.
	cutFailures       = 10
	cutFailureDivisor = 50
)

// cutMode is what becomes of an instance's connections to endpoints.
type cutMode int

const (
	// noCut leaves them as they are.
	noCut cutMode = iota
	// cutSilent loses all packets.
	cutSilent
	// cutRefusing refuses new connections, and leaves those that are open.
	cutRefusing
)

// link is an instance's network towards the endpoints.
type link struct {
	mu    sync.Mutex
	mode  cutMode
	isCut func(endpoint netip.AddrPort) bool
	conns map[*linkConn]bool
}

type linkConn struct {
	net.Conn
	link    *link
	address netip.AddrPort
}

// dial implements sender.Dial.
func (l *link) dial(ctx context.Context, network, address string) (net.Conn, error) {
	endpoint := netip.MustParseAddrPort(address)
	switch l.modeOf(endpoint) {
	case cutSilent:
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(600 * time.Millisecond):
			return nil, os.ErrDeadlineExceeded
		}
	case cutRefusing:
		return nil, syscall.ECONNREFUSED
	}
	conn, err := sender.NewDial()(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &linkConn{Conn: conn, link: l, address: endpoint}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	return c, nil
}

func (l *link) modeOf(endpoint netip.AddrPort) cutMode {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mode == noCut || !l.isCut(endpoint) {
		return noCut
	}
	return l.mode
}

func (l *link) set(mode cutMode, isCut func(endpoint netip.AddrPort) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode, l.isCut = mode, isCut
	for c := range l.conns {
		if mode == cutSilent && isCut(c.address) {
			// As by TCP_USER_TIMEOUT; the error of a closed connection doesn't matter.
			time.AfterFunc(1500*time.Millisecond, func() { _ = c.SetReadDeadline(time.Now()) })
		}
	}
}

// Write implements net.Conn.
func (c *linkConn) Write(b []byte) (int, error) {
	if c.link.modeOf(c.address) == cutSilent {
		return len(b), nil // lost
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *linkConn) Close() error {
	c.link.mu.Lock()
	delete(c.link.conns, c)
	c.link.mu.Unlock()
	return c.Conn.Close()
}

// cutFleet is a fleet in two data centres, whose instances can be cut off from endpoints.
type cutFleet struct {
	*fleet
	links map[string]*link
	// loads is the number of calls of load, so that no ID is used twice.
	loads int
}

func newCutFleet(t *testing.T) *cutFleet {
	t.Helper()
	f := &cutFleet{fleet: newFleet(t, 0, 4, 4), links: map[string]*link{}}
	for i := range f.engines {
		for _, e := range []*standin.Endpoint{f.engines[i], f.services[i]} {
			r := f.registrations[e.ID]
			r.DataCentre = dataCentre(i)
			f.registrations[e.ID] = r
			f.setDraining(e, false)
		}
	}
	f.options = func(name string) []composer.Option {
		f.links[name] = &link{conns: map[*linkConn]bool{}}
		return []composer.Option{composer.WithEndpointDial(f.links[name].dial)}
	}
	for i := range 4 {
		f.instances = append(f.instances, f.startWithSettings(fmt.Sprintf("entry-%d", i), func(s *settings) { s.DataCentre = dataCentre(i) }))
	}
	for _, in := range f.instances {
		f.awaitReady(in)
	}
	<-time.After(1500 * time.Millisecond) // The instances have discovered each other.
	return f
}

func dataCentre(i int) string { return fmt.Sprintf("dc-%d", 1+i%2) }

// tally counts attempts, and the endpoints that ran them.
type tally struct {
	tries, served int
	causes        map[string]int
}

// load sends turns, streams, calls and postings to all instances until the time and returns
// the counts by instance.
func (f *cutFleet) load(until time.Time) []tally {
	tallies := make([]tally, len(f.instances))
	f.loads++
	var mu sync.Mutex
	runConcurrently(3*len(f.instances), func(worker int) {
		n := worker % len(f.instances)
		for i := 0; time.Now().Before(until); i++ {
			id := fmt.Sprintf("load-%d-%d-%d-%d", n, f.loads, worker, i)
			session := sessionCall(id+"-session", "p"+id)
			calls := []standin.Call{
				turnCall(id+"-turn", "p"+id, "", "in\n"), session,
				{ID: id + "-call", Path: standin.PathLookup + id},
				{ID: id + "-post", Path: standin.PathPost + id, Body: "post"},
			}
			runConcurrently(len(calls), func(k int) {
				reply := f.do(f.instances[n], calls[k])
				mu.Lock()
				defer mu.Unlock()
				tallies[n].tries++
				if reply.Status == http.StatusOK && reply.IsComplete {
					tallies[n].served++
					return
				}
				if tallies[n].causes == nil {
					tallies[n].causes = map[string]int{}
				}
				tallies[n].causes[fmt.Sprint(calls[k].Path[:5], reply.Status, reply.Body, reply.Err)]++
			})
			<-time.After(60 * time.Millisecond)
		}
	})
	return tallies
}

// checkCut applies the users' rule to the counts of instances that are cut off and others.
func checkCut(t *testing.T, tallies []tally, isCut func(i int) bool) {
	t.Helper()
	var cut, others tally
	for i, c := range tallies {
		sum := &others
		if isCut(i) {
			sum = &cut
		}
		sum.tries, sum.served = sum.tries+c.tries, sum.served+c.served
	}
	t.Logf("served %d of %d attempts at the instances that are cut off, %d of %d at the others", cut.served, cut.tries, others.served, others.tries)
	isWorse := float64(cut.served)/float64(cut.tries) < 2.0/3*float64(others.served)/float64(others.tries)
	if failed := cut.tries - cut.served; isWorse && failed > cutFailures+cut.tries/cutFailureDivisor {
		t.Errorf("instances that are cut off served %d of %d attempts, the others %d of %d", cut.served, cut.tries, others.served, others.tries)
		for i, c := range tallies {
			t.Logf("instance %d: %v", i, c.causes)
		}
	}
	if others.served < others.tries*9/10 {
		t.Errorf("the others served only %d of %d", others.served, others.tries)
	}
}

// checkRuns checks that requests that may run once did, and returns how many attempts of
// callers in the first data centre ran at its own endpoints, and how many in all.
func (f *cutFleet) checkRuns() (own, all int) {
	f.t.Helper()
	counts := map[string]int{}
	for i := range f.engines {
		for _, e := range []*standin.Endpoint{f.engines[i], f.services[i]} {
			for id, n := range e.RunCounts() {
				counts[id] += n
				var instance int
				if _, err := fmt.Sscanf(id, "load-%d-", &instance); err == nil && dataCentre(instance) == dataCentre(0) {
					all++
					if dataCentre(i) == dataCentre(0) {
						own++
					}
				}
			}
		}
	}
	for id, n := range counts {
		if n > 1 && (id[len(id)-4:] == "post" || id[len(id)-4:] == "turn") {
			f.t.Errorf("%s ran %d times", id, n)
		}
	}
	return own, all
}

// Instances lose all endpoints, or some of them, but reach other instances that reach these.
// Their callers were refused, or waited until their deadline.
func TestInstancesWithoutEndpointsServeThroughOthers(t *testing.T) {
	// Not parallel: its load would delay the tests that measure times.
	for _, tc := range []struct {
		name    string
		mode    cutMode
		isCut   func(instance int) bool
		cutFrom func(f *cutFleet) func(netip.AddrPort) bool
	}{
		{"most, silent", cutSilent, func(i int) bool { return i < 3 }, everything},
		{"a data centre, refusing", cutRefusing, func(i int) bool { return dataCentre(i) == dataCentre(0) }, everything},
		{"some endpoints, silent", cutSilent, func(i int) bool { return i == 0 }, func(f *cutFleet) func(netip.AddrPort) bool {
			kept := map[netip.AddrPort]bool{f.registrations[f.engines[0].ID].Address: true, f.registrations[f.services[1].ID].Address: true}
			return func(a netip.AddrPort) bool { return !kept[a] }
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newCutFleet(t)
			f.load(time.Now().Add(500 * time.Millisecond))
			for i, in := range f.instances {
				if tc.isCut(i) {
					f.links[in.name].set(tc.mode, tc.cutFrom(f))
				}
			}
			f.load(time.Now().Add(cutSettle))
			checkCut(t, f.load(time.Now().Add(3*time.Second)), tc.isCut)
			f.checkRuns()
		})
	}
}

func everything(*cutFleet) func(netip.AddrPort) bool {
	return func(netip.AddrPort) bool { return true }
}

// A whole data centre loses all endpoints. A request that goes to another one to be relayed,
// and from there back to an endpoint of the first, crosses the path between the two twice.
func TestRelayedRequestsCrossDataCentresOnce(t *testing.T) {
	f := newCutFleet(t)
	for i, in := range f.instances {
		if dataCentre(i) == dataCentre(0) {
			f.links[in.name].set(cutSilent, everything(f))
		}
	}
	f.load(time.Now().Add(cutSettle))
	ownBefore, allBefore := f.checkRuns()
	f.load(time.Now().Add(2 * time.Second))
	own, all := f.checkRuns()
	t.Logf("%d of %d attempts ran in the data centre that was cut off", own-ownBefore, all-allBefore)
	// The first connection to an endpoint shows whether it is reached directly.
	if own-ownBefore > len(f.engines)/2+len(f.services)/2+(all-allBefore)/20 || all == allBefore {
		t.Errorf("%d of %d attempts ran in the data centre that was cut off", own-ownBefore, all-allBefore)
	}
}
