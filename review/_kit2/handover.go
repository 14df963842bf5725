package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["handover"] = handover }

// program is a program that loops until its budget is spent.
type program struct {
	id, session  string
	budget, most int
	handed       int
	isSpent      bool
}

// turn sends a turn and counts the tokens that the caller got. Token counts are those of whole events.
func (w *world) turn(in *instance, path string, p *program, left time.Duration) answer {
	a := w.send(in, request{method: "POST", path: path, body: "input " + p.id, header: map[string]string{
		"Model-Id": "m", "Program-Id": p.id, "Session-Id": p.session, names["programDeadline"]: fmt.Sprint(left.Milliseconds()),
		names["budget"]: fmt.Sprint(p.budget), names["usage"]: fmt.Sprintf("1840,%d", p.most), names["parts"]: "5c1e07a2:800," + p.session + ":1040",
	}})
	p.handed += len(a.events()) * chunkTokens
	return a
}

// loop runs turns until the budget is spent, or most turns.
func (w *world) loop(in *instance, path string, p *program, turns int) error {
	failures := 0
	for i := 0; i < turns; i++ {
		a := w.turn(in, path, p, 20*time.Second)
		switch {
		case a.status == 402:
			p.isSpent = true
			return nil
		case a.status != 200 || !a.isWhole:
			if failures++; failures > 3 {
				return fmt.Errorf("program %s: %s", p.id, a)
			}
			time.Sleep(300 * time.Millisecond)
		}
	}
	return nil
}

// handover: a bookkeeper releases the rest of its grant to another one, which dies; then the first
// one stops as planned and hands the released rest over once more.
func handover(w *world, isTrouble bool) ([]string, error) {
	const path = "/pufi791/2f"
	if err := w.configure(streamRoute("r-loop", "/pufi791/", nil)); err != nil {
		return nil, err
	}
	for i := range 6 {
		if err := w.addEndpoint(fmt.Sprintf("i-e%d", i), engineService, []string{"qld-a", "qld-b", "qld-c"}[i%3], "v1").up("v1", 0); err != nil {
			return nil, err
		}
	}
	var all []*instance
	for i, zone := range []string{"qld-a", "qld-b", "qld-c"} {
		in, err := w.addInstance(fmt.Sprintf("edge-%s-%d", zone, i+1), zone)
		if err != nil {
			return nil, err
		}
		all = append(all, in)
	}
	a, b, c := all[0], all[1], all[2]
	for _, in := range []*instance{b, c} {
		if err := in.start(); err != nil {
			return nil, err
		}
	}
	if err := awaitReady(b, c); err != nil {
		return nil, err
	}
	time.Sleep(6 * time.Second)
	var programs []*program
	for range 40 {
		programs = append(programs, &program{id: w.newID(), session: w.newID(), budget: 24 * 96, most: 96})
	}
	// The programs begin.
	forAll := func(f func(p *program) error) error {
		var mu sync.Mutex
		var first error
		var work sync.WaitGroup
		limit := make(chan struct{}, 10)
		for _, p := range programs {
			work.Go(func() {
				limit <- struct{}{}
				defer func() { <-limit }()
				if err := f(p); err != nil {
					mu.Lock()
					first = err
					mu.Unlock()
				}
			})
		}
		work.Wait()
		return first
	}
	if err := forAll(func(p *program) error { return w.loop(c, path, p, 1) }); err != nil {
		return nil, err
	}
	// A machine is added.
	if err := a.start(); err != nil {
		return nil, err
	}
	if err := awaitReady(a); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	// The programs go on until they are told that their budgets are spent.
	if err := forAll(func(p *program) error { return w.loop(c, path, p, 200) }); err != nil {
		return nil, err
	}
	for _, p := range programs {
		w.log("program %s: %d of %d tokens, spent %t", p.id, p.handed, p.budget, p.isSpent)
	}
	// Other programs go on meanwhile at the other machines.
	stop := make(chan struct{})
	var others sync.WaitGroup
	for i := range 4 {
		others.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				p := &program{id: w.newID(), session: w.newID(), budget: 24 * 96, most: 96}
				w.turn([]*instance{b, c}[i%2], path, p, 5*time.Second)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	// The machine that was added is lost for good. A second later another one is stopped as planned.
	if isTrouble {
		a.kill()
	}
	time.Sleep(1200 * time.Millisecond)
	b.signal(syscall.SIGTERM)
	time.Sleep(2 * time.Second)
	// The programs that were stopped return.
	err := forAll(func(p *program) error { return w.loop(c, path, p, 30) })
	close(stop)
	others.Wait()
	var violations []string
	for _, p := range programs {
		w.log("program %s: %d of %d tokens in all", p.id, p.handed, p.budget)
		if p.handed > p.budget+p.most {
			violations = append(violations, fmt.Sprintf("BUDGET: program %s got %d tokens, its budget is %d and the most of a turn %d", p.id, p.handed, p.budget, p.most))
		}
	}
	return violations, err
}
