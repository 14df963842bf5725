package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/opener"
)

func init() { cases["lifted"] = lifted }

// keptTurn sends a turn of a route that retains turns.
func (w *world) keptTurn(in *instance, path, program, previous string, budget, most int, aim time.Duration) (attempt string, a answer) {
	attempt = w.newID()
	header := map[string]string{
		"Model-Id": "m", "Program-Id": program, "Session-Id": program, names["programDeadline"]: fmt.Sprint(aim.Milliseconds()),
		names["budget"]: fmt.Sprint(budget), names["usage"]: fmt.Sprintf("400,%d", most), names["parts"]: "5c1e07a2:300," + program + ":100",
	}
	if previous != "" {
		header[names["previous"]] = previous
	}
	return attempt, w.send(in, request{method: "POST", path: path, body: "input " + attempt, attempt: attempt, header: header})
}

// lifted: after some thousands of programs that used most of their budgets, no further program gets more than
// three quarters of its budget, without any disruption. The IDs of the programs are chosen so that they are in
// one of the 64 slots of programs, as a sixty-fourth of all programs of a longer time would be.
func lifted(w *world, isTrouble bool) ([]string, error) {
	const path, slot = "/lohu930/2f", 5
	if err := w.configure(streamRoute("r-kept", "/lohu930/", map[string]any{names["kept"]: true})); err != nil {
		return nil, err
	}
	zones := []string{"qld-a", "qld-b", "qld-c"}
	var engines []*endpoint
	for i := range 9 {
		e := w.addEndpoint(fmt.Sprintf("i-e%d", i), engineService, zones[i%3], "v1")
		e.eventTime = time.Millisecond
		if err := e.up("v1", 0); err != nil {
			return nil, err
		}
		engines = append(engines, e)
	}
	for i := range 3 {
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
	time.Sleep(5 * time.Second)
	idIn := func(slot int) string {
		for {
			if id := w.newID(); slot < 0 || opener.Slot(id) == slot {
				return id
			}
		}
	}
	fill := -1
	if isTrouble {
		fill = slot
	}
	// Programs of one turn that uses seven eighths of the budget, until none of them is served any more.
	var served, refused, refusedLast atomic.Int64
	until := time.Now().Add(80 * time.Second)
	var work sync.WaitGroup
	for i := range 60 {
		work.Go(func() {
			for k := i; time.Now().Before(until) && served.Load() < 3400 && refusedLast.Load() < 300; k++ {
				if _, a := w.keptTurn(w.instances[k%3], path, idIn(fill), "", 96, 84, 20*time.Second); a.status == 200 && a.isWhole {
					served.Add(1)
					refusedLast.Store(0)
				} else {
					refused.Add(1)
					refusedLast.Add(1)
				}
			}
		})
	}
	work.Wait()
	w.log("programs of before: %d served, %d refused, of these %d since the last one was served", served.Load(), refused.Load(), refusedLast.Load())
	// New programs of the slot, and of all slots beside them. Their first turns are small. The second one needs
	// more than three quarters of the budget.
	const aim = 18 * time.Second
	var mu sync.Mutex
	var violations []string
	firsts, reached := 0, 0
	for i := range 20 {
		work.Go(func() {
			began, program, inSlot := time.Now(), idIn(-1), i%2 == 0
			if inSlot {
				program = idIn(slot)
			}
			first, a := w.keptTurn(w.instances[i%3], path, program, "", 960, 96, aim)
			mu.Lock()
			if firsts++; a.status == 200 && a.isWhole {
				reached++
			}
			mu.Unlock()
			if a.status != 200 || !a.isWhole || !inSlot {
				return
			}
			var tries []string
			var statuses []string
			for k := 0; k < 6 && time.Since(began) < aim-2*time.Second; k++ {
				attempt, a := w.keptTurn(w.instances[(i+k)%3], path, program, first, 960, 720, aim-time.Since(began))
				tries, statuses = append(tries, attempt), append(statuses, fmt.Sprint(a.status))
				if a.status == 200 {
					break
				}
				time.Sleep(300 * time.Millisecond)
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
			if len(tries) >= 5 {
				violations = append(violations, fmt.Sprintf("LOST: a turn that goes on from %s, which was answered whole, reached no replica in %d tries within %.1f s, answered %s", first, len(tries), time.Since(began).Seconds(), strings.Join(statuses, " ")))
			}
		})
	}
	work.Wait()
	w.log("%d of %d first turns reached a replica meanwhile", reached, firsts)
	if reached*10 < firsts*9 {
		return nil, fmt.Errorf("only %d of %d first turns were served, so that the rule does not apply", reached, firsts)
	}
	return violations, nil
}
