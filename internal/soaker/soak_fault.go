package soaker

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/fakeplatform"
	"github.com/wigeonstand/wigeonstand/platform/standin"
)

// fault is a fault, or a planned change, and how it begins and ends.
type fault struct {
	name string
	// subjects are the instances and endpoints that it concerns, and the store.
	subjects   []string
	begin, end func()
}

const (
	// heartbeat is how late a process registers at most.
	heartbeat = 1200 * time.Millisecond
	// storeDelay is how late a slow store answers.
	storeDelay = 300 * time.Millisecond
)

// injectFaults begins a fault after each gap until ctx ends; faults overlap.
func (s *soak) injectFaults(ctx context.Context) {
	var work sync.WaitGroup
	defer work.Wait()
	for ctx.Err() == nil {
		f, isPlanned := s.drawFault(ctx)
		life := time.Duration(s.random.Int64N(int64(faultLife)))
		s.count(s.report.Faults, f.name)
		isOver := func() {}
		if !isPlanned {
			isOver = s.history.begin(f.subjects...)
		}
		s.log("%s begins: %s", f.name, strings.Join(f.subjects, ", "))
		f.begin()
		work.Go(func() {
			sleep(ctx, life)
			f.end()
			isOver()
			s.log("%s is over: %s", f.name, strings.Join(f.subjects, ", "))
		})
		sleep(ctx, time.Duration(s.random.Int64N(int64(2*faultGap))))
	}
}

// drawFault draws a planned change, or a fault if the run has faults.
func (s *soak) drawFault(ctx context.Context) (f fault, isPlanned bool) {
	const planned, unplanned = 5, 13
	kinds := planned + unplanned
	if s.PlannedOnly {
		kinds = planned
	}
	kind := s.random.IntN(kinds)
	if kind < planned {
		return s.plannedChange(ctx, kind), true
	}
	return s.unplannedFault(kind - planned), false
}

func nothing() {}

func (s *soak) plannedChange(ctx context.Context, kind int) fault {
	in := s.instances[s.random.IntN(len(s.instances))]
	switch kind {
	case 0:
		return fault{"planned stop", []string{in.name}, in.stop, func() { s.restart(in) }}
	case 1:
		return fault{"hangup", []string{in.name}, func() { in.signal(syscall.SIGHUP) }, nothing}
	case 2:
		return fault{"configuration", []string{storeSubject}, s.configure, nothing}
	case 3:
		first := s.random.IntN(len(s.instances))
		return fault{"stops in turn", []string{s.instances[first].name}, func() { s.stopInTurn(ctx, first) }, nothing}
	default:
		leaves, version := s.drawRelease()
		return fault{"release", []string{leaves.ID}, func() { s.release(ctx, leaves, version) }, nothing}
	}
}

// unplannedFault returns the fault of the kind.
func (s *soak) unplannedFault(kind int) fault {
	in := s.instances[s.random.IntN(len(s.instances))]
	l := s.drawLink()
	switch kind {
	case 0:
		return fault{"kill", []string{in.name}, in.kill, func() { s.restart(in) }}
	case 1:
		return fault{"freeze", []string{in.name}, func() { in.signal(syscall.SIGSTOP) }, func() { in.signal(syscall.SIGCONT) }}
	case 2:
		kind := linkFault(1 + s.random.IntN(int(linkFaults)-1))
		return fault{
			fmt.Sprint("link ", [...]string{"", "slow", "silent", "one way"}[kind]),
			[]string{l.subject},
			func() { l.set(kind) }, func() { l.set(linkFine) },
		}
	case 3:
		return fault{"connections reset", []string{l.subject}, l.reset, nothing}
	case 4:
		return fault{"connections silenced", []string{l.subject}, l.silence, nothing}
	case 5:
		var subjects []string
		for _, e := range s.allEndpoints() {
			subjects = append(subjects, e.ID)
		}
		return fault{"endpoint faults", subjects, func() { s.setEndpointFaults(true) }, func() { s.setEndpointFaults(false) }}
	case 6:
		return fault{
			"kill all", s.instanceNames(),
			func() { s.each(func(in *instance) { in.kill() }) }, func() { s.each(s.restart) },
		}
	case 7:
		return fault{
			"cut off",
			[]string{in.name},
			func() { in.store.set(linkSilent); in.peers.set(linkSilent) },
			func() { in.store.set(linkFine); in.peers.set(linkFine) },
		}
	case 8:
		return fault{"no way to the store", []string{in.name}, func() { in.store.set(linkSilent) }, func() { in.store.set(linkFine) }}
	case 9:
		leaves, version := s.drawRelease()
		subjects := append(s.instanceNames(), leaves.ID) // Requests of its streams go on elsewhere.
		return fault{"kill of an endpoint that drains", subjects, func() { s.killDraining(leaves, version) }, nothing}
	case 10:
		old, version := s.drawRelease()
		delay := time.Duration(s.random.Int64N(int64(heartbeat)))
		subjects := append(s.instanceNames(), old.ID) // As above.
		return fault{"restart of an endpoint in its place", subjects, func() { s.restartInPlace(old, version, delay) }, nothing}
	default:
		return s.storeFault()
	}
}

// stopInTurn stops some instances, each one stopGap after the one before, and starts each again
// when it has ended.
func (s *soak) stopInTurn(ctx context.Context, first int) {
	const stopGap = 1300 * time.Millisecond
	for i := range (len(s.instances) + 1) / 2 {
		in := s.instances[(first+i)%len(s.instances)]
		s.changes.Go(func() {
			sleep(ctx, time.Duration(i)*stopGap)
			if ctx.Err() == nil {
				s.log("stops in turn: %s", in.name)
				in.stop()
				s.restart(in)
				s.log("stops in turn: %s is back", in.name)
			}
		})
	}
}

func (s *soak) restart(in *instance) {
	if err := in.restart(); err != nil {
		s.violate("%s cannot be started: %v", in.name, err)
	}
}

func (s *soak) each(f func(in *instance)) {
	var work sync.WaitGroup
	for _, in := range s.present() {
		work.Go(func() { f(in) })
	}
	work.Wait()
}

func (s *soak) instanceNames() []string {
	present := s.present()
	names := make([]string, len(present))
	for i, in := range present {
		names[i] = in.name
	}
	return names
}

func (s *soak) storeFault() fault {
	faults := []struct {
		name string
		rows fakeplatform.RowFaults
	}{
		{"store down", fakeplatform.RowFaults{Outage: true}},
		{"store silent", fakeplatform.RowFaults{Silent: true}},
		{"store slow", fakeplatform.RowFaults{Delay: storeDelay}},
		{"store loses answers", fakeplatform.RowFaults{LoseAnswers: 0.4}},
		{"store answers late", fakeplatform.RowFaults{LoseAnswers: 0.4, LandLate: 2 * time.Second}},
		{"store refuses some", fakeplatform.RowFaults{Refused: map[string]bool{
			s.instances[s.random.IntN(len(s.instances))].name: true,
			s.instances[s.random.IntN(len(s.instances))].name: true,
		}}},
	}
	f := faults[s.random.IntN(len(faults))]
	return fault{f.name, []string{storeSubject}, func() { s.rows.SetFaults(f.rows) }, func() { s.rows.SetFaults(fakeplatform.RowFaults{}) }}
}

// usualFaults are those that endpoints have without a fault.
func usualFaults() standin.EndpointFaults { return standin.EndpointFaults{Preempted: 0.1} }

func (s *soak) setEndpointFaults(on bool) {
	faults := usualFaults()
	if on {
		faults = standin.EndpointFaults{
			Dropped: 0.1, Truncated: 0.1, Rejected: 0.2, Duplicated: 0.1, BrokenBetween: 0.2, Unframed: 0.3, FailedResumption: 0.3,
			HeadCut: 0.05, Garbled: 0.05, Late: 0.05, Preempted: 0.2,
		}
	}
	for _, e := range s.allEndpoints() {
		e.SetFaults(faults)
	}
}
