package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/fakeplatform"
)

func init() { cases["returning"] = returning }

// isAway is true while the store turns all calls away.
func (w *world) setAway(isAway bool) {
	w.mu.Lock()
	w.isAway = isAway
	w.mu.Unlock()
	w.rows.SetFaults(fakeplatform.RowFaults{Delay: storeDelay, Outage: isAway})
	w.log("store: away %t", isAway)
}

// loopUntilStopped sends turns until one is answered 402, or one has failed three times.
func (w *world) loopUntilStopped(in func() *instance, path string, p *program, left time.Duration) {
	began := time.Now()
	for failures := 0; failures < 3; {
		a := w.turn(in(), path, p, left-time.Since(began))
		switch {
		case a.status == 402:
			p.isSpent = true
			return
		case a.status == 200 && a.isWhole:
			failures = 0
		default:
			failures++
			time.Sleep(200 * time.Millisecond)
		}
	}
}

// returning: programs without end begin while the store is away and are stopped by refusals; all
// processes are killed; later the programs return.
func returning(w *world, isTrouble bool) ([]string, error) {
	const path = "/pufi791/2f"
	if err := w.configure(streamRoute("r-loop", "/pufi791/", nil)); err != nil {
		return nil, err
	}
	zones := []string{"qld-a", "qld-b", "qld-c"}
	for i := range 6 {
		if err := w.addEndpoint(fmt.Sprintf("i-e%d", i), engineService, zones[i%3], "v1").up("v1", 0); err != nil {
			return nil, err
		}
	}
	for i := range 4 {
		in, err := w.addInstance(fmt.Sprintf("edge-%s-%d", zones[i%3], i+1), zones[i%3])
		if err != nil {
			return nil, err
		}
		if err := in.start(); err != nil {
			return nil, err
		}
	}
	if err := awaitReady(w.instances...); err != nil {
		return nil, err
	}
	const left = 5200 * time.Millisecond
	next := 0
	pick := func() *instance {
		w.mu.Lock()
		defer w.mu.Unlock()
		next++
		return w.instances[next%len(w.instances)]
	}
	// Usual programs of three turns, in calm.
	for began := time.Now(); time.Since(began) < 12*time.Second; time.Sleep(100 * time.Millisecond) {
		p := &program{id: w.newID(), session: w.newID(), budget: 2304, most: 288}
		for range 3 {
			w.turn(pick(), path, p, left)
		}
	}
	var programs []*program
	for range 24 {
		programs = append(programs, &program{id: w.newID(), session: w.newID(), budget: 2304, most: 288})
	}
	forAll := func() {
		var work sync.WaitGroup
		for _, p := range programs {
			work.Go(func() { w.loopUntilStopped(pick, path, p, left) })
		}
		work.Wait()
	}
	if isTrouble {
		w.setAway(true)
	}
	outage := time.Now()
	time.Sleep(600 * time.Millisecond)
	begun := make(chan struct{})
	go func() {
		defer close(begun)
		forAll()
	}()
	if isTrouble {
		time.Sleep(3 * time.Second)
		var work sync.WaitGroup
		for _, in := range w.instances {
			work.Go(in.kill)
		}
		work.Wait()
		time.Sleep(400 * time.Millisecond)
		w.setAway(false)
		w.log("the outage lasted %.1f s", time.Since(outage).Seconds())
		time.Sleep(time.Second)
	}
	<-begun
	for _, p := range programs {
		w.log("program %s was stopped: %d of %d tokens, spent %t", p.id, p.handed, p.budget, p.isSpent)
	}
	if isTrouble {
		for _, in := range w.instances {
			if err := in.start(); err != nil {
				return nil, err
			}
		}
		if err := awaitReady(w.instances...); err != nil {
			return nil, err
		}
	}
	time.Sleep(20 * time.Second)
	// The programs return.
	forAll()
	var violations []string
	for _, p := range programs {
		w.log("program %s: %d of %d tokens in all, spent %t", p.id, p.handed, p.budget, p.isSpent)
		if p.handed > p.budget+p.most {
			violations = append(violations, fmt.Sprintf("BUDGET: program %s got %d tokens, its budget is %d and the most of a turn %d", p.id, p.handed, p.budget, p.most))
		}
	}
	return violations, nil
}
