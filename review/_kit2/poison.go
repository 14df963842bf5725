package main

import (
	"fmt"
	"time"
)

func init() { cases["poison"] = poison }

// poison: a call crashes the replicas that run it. It comes again at one machine after the other.
func poison(w *world, isTrouble bool) ([]string, error) {
	const path = "/puxa403/2f"
	if err := w.configure(plainRoute("r-docket", "/puxa403/", "unsafe")); err != nil {
		return nil, err
	}
	zones := []string{"qld-a", "qld-b", "qld-c"}
	var replicas []*endpoint
	for i := range 8 {
		e := w.addEndpoint(fmt.Sprintf("i-d%d", i), plainService, zones[i%3], "v1")
		if isTrouble {
			e.poison = "poison"
		}
		if err := e.up("v1", 0); err != nil {
			return nil, err
		}
		replicas = append(replicas, e)
	}
	for i := range 10 {
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
	time.Sleep(6 * time.Second)
	// Usual calls show that all machines serve.
	for i, in := range w.instances {
		if a := w.send(in, request{method: "POST", path: path, body: fmt.Sprintf("docket %d", i)}); a.status != 200 {
			return nil, fmt.Errorf("a usual call at %s: %s", in.name, a)
		}
	}
	// The same request comes at one machine after the other, three times a machine, every 1.5 s.
	for i := range 3 * len(w.instances) {
		w.send(w.instances[i%len(w.instances)], request{method: "POST", path: path, body: "docket poison"})
		time.Sleep(1500 * time.Millisecond)
	}
	var at []time.Time
	for _, e := range replicas {
		for _, r := range e.allRuns() {
			if r.body == "docket poison" {
				at = append(at, r.at)
			}
		}
	}
	for i := range at {
		for j := range i {
			if at[i].Before(at[j]) {
				at[i], at[j] = at[j], at[i]
			}
		}
	}
	late := 0
	for i, t := range at {
		if isTrouble && i >= 3 && t.Sub(at[2]) > stableWindow {
			late++
		}
	}
	w.log("the request reached replicas %d times, %d of them later than %s after the third crash", len(at), late, stableWindow)
	if late > 3 {
		return []string{fmt.Sprintf("BUDGET: a request that crashes replicas reached them in %d retries later than %s after it had crashed the third, %d times in all", late, stableWindow, len(at))}, nil
	}
	return nil, nil
}
