package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/storer"
	"github.com/wigeonstand/wigeonstand/platform/standin"
)

func init() { cases["removed-entry"] = removedEntry }

const (
	appSlots    = 6
	appReplicas = 11
	// beat is heartbeat_interval_ms, and drainDeadline drain_deadline_ms of the site.
	beat          = 1200 * time.Millisecond
	drainDeadline = 2 * time.Second
	// silenceCount is how often the connections go silent, each time silenceGap after the last.
	silenceCount = 5
	silenceGap   = 12 * time.Second
	// removalDelay is the time from the silence to the removal of an entry.
	removalDelay = 900 * time.Millisecond
	// servesOn is how long a replica goes on serving after its entry is gone: drain_deadline_ms
	// and a little longer.
	servesOn = 2500 * time.Millisecond
	// feeWork is the work of fee-post, feeDeadline the deadline.
	feeWork     = 104 * time.Millisecond
	feeDeadline = 3 * time.Second
)

// app is a replica of a plain service.
type app struct {
	*standin.Endpoint
	address, zone string
	born          int64
	server        *http.Server

	mu       sync.Mutex
	arrivals map[string]time.Time
	sequence int
	isGone   bool
}

// ServeHTTP records when a request reached the replica that was meant.
func (a *app) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(names["instance"]) == a.ID {
		a.mu.Lock()
		a.arrivals[r.Header.Get(names["id"])] = time.Now()
		a.mu.Unlock()
	}
	a.Endpoint.ServeHTTP(w, r)
}

func (w *world) addApp(number int) (*app, error) {
	a := &app{
		Endpoint: standin.NewEndpoint(fmt.Sprintf("i-app%d", number), 0, feeWork, uint64(number)),
		zone:     []string{"ee-tln", "ee-trt", "ee-prn"}[number%3], born: time.Now().UnixMilli(), arrivals: map[string]time.Time{},
	}
	a.Slots = appSlots
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a.address, a.server = listener.Addr().String(), &http.Server{Handler: a}
	go func() { _ = a.server.Serve(listener) }()
	w.endpoints = append(w.endpoints, a.Endpoint)
	return a, w.beat(a)
}

// beat writes the replica's entry, as it does every heartbeat_interval_ms.
func (w *world) beat(a *app) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.isGone {
		return nil
	}
	a.sequence++
	return w.registerApp(a)
}

// remove removes the replica's entry. It never reports that it drains, and goes on serving.
func (w *world) remove(a *app) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.isGone = true
	w.rows.Remove(storer.RowKey{Table: "servers", Name: a.ID})
	return time.Now()
}

// removedEntry plays steady calls while the open connections to the store go silent and a replica
// leaves soon after.
func removedEntry(ctx context.Context, w *world, hasTrouble bool) (bool, error) {
	routes := []route{{
		"name": "fee-post", "hostname": hostName, "prefix": "/pule252/", "type": "unsafe", "timeout_ms": 3000,
		"target_latency_ms": 500, "priority": 2, "service": "xano55b", names["attempts"]: 1,
	}}
	services := []map[string]any{{"name": "xano55b", "health_path": "/health", "max_connections": 110}}
	if err := w.configure(1, routes, services); err != nil {
		return false, err
	}
	var apps []*app
	for i := range appReplicas {
		a, err := w.addApp(i)
		if err != nil {
			return false, err
		}
		apps = append(apps, a)
	}
	if err := w.addInstances(map[string]int{"ee-tln": 5, "ee-trt": 4, "ee-prn": 3}, []string{"ee-tln", "ee-trt", "ee-prn"}); err != nil {
		return false, err
	}
	if err := w.startAll(ctx); err != nil {
		return false, err
	}
	var all sync.Mutex
	go func() {
		for n := 0; ctx.Err() == nil; n++ {
			all.Lock()
			list := append([]*app(nil), apps...)
			all.Unlock()
			_ = w.beat(list[n%len(list)])
			time.Sleep(beat / time.Duration(len(list)))
		}
	}()
	time.Sleep(6 * time.Second)
	var mu sync.Mutex
	sent := map[string]time.Time{}
	calls, stop := context.WithCancel(ctx)
	defer stop()
	var work sync.WaitGroup
	served, unknown := 0, 0
	for _, in := range w.instances {
		work.Go(func() {
			for n := 0; calls.Err() == nil; n++ {
				id := fmt.Sprintf("%s-%d", in.name, n)
				mu.Lock()
				sent[id] = time.Now()
				mu.Unlock()
				work.Go(func() {
					a := w.send(ctx, in, request{id: id, method: http.MethodPost, path: "/pule252/2f", body: "fee " + id, deadline: feeDeadline})
					mu.Lock()
					defer mu.Unlock()
					if a.isWhole() {
						served++
						return
					}
					if a.status == http.StatusBadGateway {
						unknown++
					}
					w.log("%s answered %s", id, a)
				})
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	late := 0
	for round := range silenceCount {
		time.Sleep(2 * time.Second)
		silent := time.Now()
		if hasTrouble {
			n := 0
			for _, in := range w.instances {
				n += in.store.silence()
			}
			w.log("round %d: the %d open connections to the store go silent for good; new ones work", round, n)
		}
		time.Sleep(removalDelay)
		all.Lock()
		leaver := apps[0]
		apps = apps[1:]
		all.Unlock()
		acked := w.remove(leaver)
		w.log("round %d: the store accepts the removal of the entry of %s, which serves for %v more", round, leaver.ID, servesOn)
		time.Sleep(servesOn)
		_ = leaver.server.Close()
		w.log("round %d: %s exits", round, leaver.ID)
		time.Sleep(silenceGap - 2*time.Second - removalDelay - servesOn)
		late += w.judgeRemoved(round, leaver, silent, acked, sent, &mu)
		a, err := w.addApp(appReplicas + round)
		if err != nil {
			return false, err
		}
		all.Lock()
		apps = append(apps, a)
		all.Unlock()
	}
	stop()
	work.Wait()
	w.log("result: calls answered 502, of which it is not known whether they ran: %d", unknown)
	w.log("result: %d calls, %d served; requests that reached a replica later than drain_deadline_ms after the removal of its entry, from machines in touch: %d", len(sent), served, late)
	fmt.Printf("%d calls, %d served, %d answered 502; late at a replica whose entry is gone: %d\n", len(sent), served, unknown, late)
	return late > 0, nil
}

// judgeRemoved counts the requests that reached the leaver later than drain_deadline_ms after the
// removal, and that a machine took from its client later than stable_window_ms after the silence,
// which counts as a reset of its connections.
func (w *world) judgeRemoved(round int, leaver *app, silent, acked time.Time, sent map[string]time.Time, mu *sync.Mutex) int {
	late, last := 0, time.Duration(0)
	mu.Lock()
	defer mu.Unlock()
	leaver.mu.Lock()
	defer leaver.mu.Unlock()
	for id, at := range leaver.arrivals {
		last = max(last, at.Sub(acked))
		if at.Sub(acked) > drainDeadline && sent[id].Sub(silent) > stableWindow {
			late++
			w.log("round %d: %s, sent %v after the silence, reaches %s %v after the removal of its entry", round, id,
				sent[id].Sub(silent).Round(time.Millisecond), leaver.ID, at.Sub(acked).Round(time.Millisecond))
		}
	}
	w.log("result: round %d: the last request reached %s %v after the removal; late and from machines in touch: %d", round, leaver.ID, last.Round(time.Millisecond), late)
	return late
}

func (w *world) registerApp(a *app) error {
	return w.register(a.ID, "xano55b", a.address, a.zone, "ready", a.Slots, a.born, a.sequence)
}
