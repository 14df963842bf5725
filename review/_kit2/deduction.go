package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["deduction"] = deduction }

// deduction: all processes are killed at the same moment. Programs that had used three quarters of their
// budgets go on from their last turns, which were answered whole, and get no further turn.
func deduction(w *world, isTrouble bool) ([]string, error) {
	const path, budget, most, recovery = "/lohu930/2f", 2304, 288, 12 * time.Second
	if err := w.configure(streamRoute("r-kept", "/lohu930/", map[string]any{names["kept"]: true})); err != nil {
		return nil, err
	}
	zones := []string{"qld-a", "qld-b", "qld-c"}
	var engines []*endpoint
	for i := range 9 {
		e := w.addEndpoint(fmt.Sprintf("i-e%d", i), engineService, zones[i%3], "v1")
		if err := e.up("v1", 0); err != nil {
			return nil, err
		}
		engines = append(engines, e)
	}
	for i := range 6 {
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
	time.Sleep(10 * time.Second)
	// The programs have 30 s for their turns, of which six use three quarters of the budget.
	const aim = 30 * time.Second
	type kept struct {
		id, last string
		begun    time.Time
	}
	var programs []*kept
	var mu sync.Mutex
	var failure error
	var work sync.WaitGroup
	for i := range 12 {
		p := &kept{id: w.newID(), begun: time.Now()}
		programs = append(programs, p)
		work.Go(func() {
			for range 6 {
				attempt, a := w.keptTurn(w.instances[i%6], path, p.id, p.last, budget, most, aim-time.Since(p.begun))
				if a.status != 200 || !a.isWhole {
					mu.Lock()
					failure = fmt.Errorf("a turn of program %s: %s", p.id, a)
					mu.Unlock()
					return
				}
				p.last = attempt
			}
		})
	}
	work.Wait()
	if failure != nil {
		return nil, failure
	}
	back := time.Now()
	if isTrouble {
		for _, in := range w.instances {
			work.Go(in.kill)
		}
		work.Wait()
		time.Sleep(1400 * time.Millisecond)
		for _, in := range w.instances {
			if err := in.start(); err != nil {
				return nil, err
			}
		}
		back = time.Now()
		if err := awaitReady(w.instances...); err != nil {
			return nil, err
		}
	}
	// New programs begin until recovery_s has elapsed.
	var firsts, served int
	for i := range 6 {
		work.Go(func() {
			for time.Since(back) < recovery {
				_, a := w.keptTurn(w.instances[i], path, w.newID(), "", budget, most, 5*time.Second)
				if time.Since(back) > recovery-4*time.Second {
					mu.Lock()
					if firsts++; a.status == 200 && a.isWhole {
						served++
					}
					mu.Unlock()
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	// The programs of before go on.
	var violations []string
	for i, p := range programs {
		work.Go(func() {
			var tries, statuses []string
			for k := 0; time.Since(back) < recovery; k++ {
				attempt, a := w.keptTurn(w.instances[(i+k)%6], path, p.id, p.last, budget, most, aim-time.Since(p.begun))
				tries, statuses = append(tries, attempt), append(statuses, fmt.Sprint(a.status))
				if a.status == 200 {
					break
				}
				time.Sleep(200 * time.Millisecond)
			}
			for _, e := range engines {
				for _, r := range e.allRuns() {
					for _, attempt := range tries {
						if r.attempt == attempt {
							return
						}
					}
				}
			}
			mu.Lock()
			defer mu.Unlock()
			violations = append(violations, fmt.Sprintf("LOST: the turn of program %s that goes on from %s, which was answered whole, reached no replica in %d tries until %s after the machines were back, answered %s", p.id, p.last, len(tries), recovery, strings.Join(statuses, " ")))
		})
	}
	work.Wait()
	w.log("%d of %d other turns were served in the last 4 s", served, firsts)
	if served*5 < firsts*4 {
		return nil, fmt.Errorf("only %d of %d other turns were served, so that the rule does not apply", served, firsts)
	}
	return violations, nil
}
