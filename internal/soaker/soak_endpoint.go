package soaker

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/wigeonstand/wigeonstand/platform/standin"
)

// The times of an endpoint that leaves: it serves for drainTime after the store has its report,
// and up to drainExtra more while requests run.
const (
	drainTime  = 2 * time.Second
	drainExtra = 4 * time.Second
	drainPoll  = 50 * time.Millisecond
)

const (
	enginePace  = 8 * time.Millisecond
	servicePace = 5 * time.Millisecond
	// mostEvents is the largest number of events of a stream.
	mostEvents = callerMost / standin.EventTokens
)

// endpoint is a stand-in for an endpoint with its link.
type endpoint struct {
	*standin.Endpoint
	kind         string
	registration standin.Registration
	link         *link
	// end ends its server, and left is when the store had its report that it leaves; both are
	// guarded by the mutex of soak.
	end  context.CancelFunc
	left time.Time
}

// addEndpoint starts an endpoint of the software version.
func (s *soak) addEndpoint(ctx context.Context, kind, version string) error {
	s.mu.Lock()
	i := s.added
	s.added++
	s.mu.Unlock()
	e, target, err := s.startProcess(ctx, kind, fmt.Sprintf("%s-%d", kind, i), version, i)
	if err != nil {
		return err
	}
	if e.link, err = newLink(ctx, "127.0.0.1:0", target, e.ID); err != nil {
		e.end()
		return err
	}
	e.registration = standin.Registration{
		ID: e.ID, Service: kind, Address: e.link.address(), DataCentre: dataCentre(i % max(s.DataCentres, 1)), Slots: e.Slots, Version: version, Started: e.Started,
	}
	s.mu.Lock()
	s.endpoints, s.links = append(s.endpoints, e), append(s.links, e.link)
	s.mu.Unlock()
	return standin.Register(s.rows, e.registration)
}

// startProcess starts the n-th process of an endpoint, and returns the address of its server. It has no link.
func (s *soak) startProcess(ctx context.Context, kind, id, version string, n int) (e *endpoint, target string, err error) {
	events, pace, slots := 0, servicePace, s.ServiceSlots
	if kind == standin.ServiceEngine {
		events, pace, slots = mostEvents, enginePace, s.EngineSlots
	}
	// Callers ask endpoints after the run, so that only the server ends with ctx.
	serving, end := context.WithCancel(ctx)
	e = &endpoint{Endpoint: standin.NewEndpoint(id, events, pace, s.Seed+uint64(n)), kind: kind, end: end}
	e.Version, e.Numbering, e.VariesFraming, e.RunsOn = version, s.numbering(version), true, n%3 == 2
	e.StopsAtDeadline, e.Started = true, time.Now()
	if slots > 0 {
		e.Slots = slots
	}
	e.SetFaults(usualFaults())
	if target, err = serve(serving, e); err != nil {
		end()
	}
	return e, target, err
}

func dataCentre(i int) string { return fmt.Sprint("dc-", i+1) }

// numbering returns the numbering of the events of all engines of the version.
func (s *soak) numbering(version string) standin.Numbering {
	if s.CountsFromOne {
		return standin.Numbering{}
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(version)) // It returns no error.
	return standin.DrawNumbering(rand.New(rand.NewPCG(s.Seed, hash.Sum64())))
}

// versionOf returns the software version of the i-th endpoint of a kind.
func (s *soak) versionOf(i int) string {
	if s.SingleVersion {
		return "v0"
	}
	return fmt.Sprint("v", i%versions)
}

// allEndpoints returns the endpoints, those that have left too.
func (s *soak) allEndpoints() []*endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.endpoints)
}

func (s *soak) drawLink() *link {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.links[s.random.IntN(len(s.links))]
}

// drawRelease draws an endpoint that is to be replaced, the oldest of its kind, and the software
// version of the one that joins.
func (s *soak) drawRelease() (leaves *endpoint, version string) {
	kind := []string{standin.ServiceEngine, standin.ServicePlain}[s.random.IntN(2)]
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range slices.Backward(s.endpoints) {
		if e.kind == kind && e.left.IsZero() {
			leaves = e
		}
	}
	switch {
	case s.SingleVersion:
		return leaves, s.versionOf(0)
	case s.random.IntN(2) == 0:
		return leaves, s.endpoints[len(s.endpoints)-1].Version
	}
	return leaves, fmt.Sprint("v", versions+s.added)
}

// release replaces the endpoint, which leaves while its requests run, by one of the version.
func (s *soak) release(ctx context.Context, leaves *endpoint, version string) {
	if !s.drain(leaves, version) {
		return
	}
	s.changes.Go(func() {
		sleep(ctx, drainTime)
		for deadline := time.Now().Add(drainExtra); leaves.Running() > 0 && time.Now().Before(deadline); {
			time.Sleep(drainPoll)
		}
		standin.Unregister(s.rows, leaves.ID)
		leaves.end()
	})
}

// drain starts an endpoint of the version and reports that the other one leaves. The result tells whether
// it has.
func (s *soak) drain(leaves *endpoint, version string) bool {
	if err := s.addEndpoint(s.lifetime, leaves.kind, version); err != nil {
		s.violate("an endpoint cannot be started: %v", err)
		return false
	}
	leaves.registration.Draining = true
	if err := standin.Register(s.rows, leaves.registration); err != nil {
		s.violate("an endpoint cannot be registered: %v", err)
		return false
	}
	s.mu.Lock()
	leaves.left = time.Now()
	s.mu.Unlock()
	leaves.SetLeaving(true)
	return true
}

// killDraining ends an endpoint that drains while its streams run, which have neither a length nor chunks.
func (s *soak) killDraining(leaves *endpoint, version string) {
	const drained = 300 * time.Millisecond
	leaves.SetFaults(standin.EndpointFaults{Unframed: 1})
	if !s.drain(leaves, version) {
		return
	}
	s.changes.Go(func() {
		time.Sleep(drained)
		for deadline := time.Now().Add(drainTime); leaves.Running() == 0 && time.Now().Before(deadline); {
			time.Sleep(drainPoll / 10)
		}
		leaves.end()
		standin.Unregister(s.rows, leaves.ID)
	})
}

// restartInPlace ends the process of an endpoint and starts one of the version under its ID and at its address. It
// registers after the delay. Its requests break off several times until soon after that.
func (s *soak) restartInPlace(old *endpoint, version string, delay time.Duration) {
	const breakInterval, registered = 130 * time.Millisecond, 200 * time.Millisecond
	s.mu.Lock()
	n := s.added
	s.added++
	s.mu.Unlock()
	e, target, err := s.startProcess(s.lifetime, old.kind, old.ID, version, n)
	if err != nil {
		s.violate("an endpoint cannot be started: %v", err)
		return
	}
	e.link, e.registration = old.link, old.registration
	e.registration.Version, e.registration.Started = version, e.Started
	s.mu.Lock()
	old.left = time.Now()
	s.endpoints = append(s.endpoints, e)
	s.mu.Unlock()
	e.link.moveTo(target)
	old.end()
	s.changes.Go(func() {
		for registration := time.Now().Add(delay); time.Now().Before(registration); e.link.reset() {
			time.Sleep(min(breakInterval, time.Until(registration)))
		}
		if err := standin.Register(s.rows, e.registration); err != nil {
			s.violate("an endpoint cannot be registered: %v", err)
		}
		time.Sleep(registered)
		e.link.reset()
	})
}

// ServeHTTP implements http.Handler.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.Endpoint.ServeHTTP(w, r) }

// runs returns the executions of the request at all endpoints.
func (s *soak) runs(id string) []standin.Run {
	var runs []standin.Run
	for _, e := range s.allEndpoints() {
		runs = append(runs, e.Runs(id)...)
	}
	return runs
}

// runsOf returns how often endpoints ran the request, and the body of the first run.
func (s *soak) runsOf(id string) (runs int, body string) {
	all := s.runs(id)
	if len(all) == 0 {
		return 0, ""
	}
	return len(all), all[0].Body
}
