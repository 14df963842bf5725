package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["version"] = version }

// version: a replica crashes and starts again under its ID with other software. Until it registers,
// streams begin there that count as begun by the software of before.
func version(w *world, isTrouble bool) ([]string, error) {
	const path = "/pufi791/2f"
	if err := w.configure(streamRoute("r-chat", "/pufi791/", map[string]any{"resumable": true})); err != nil {
		return nil, err
	}
	zones := []string{"qld-a", "qld-b", "qld-c"}
	var engines []*endpoint
	for i := range 9 {
		e := w.addEndpoint(fmt.Sprintf("i-e%d", i), engineService, zones[i%3], "v1")
		e.eventTime = 60 * time.Millisecond
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
	time.Sleep(4 * time.Second)
	// stream plays a caller of one stream, who takes it up once at the next machine if it breaks off. It
	// returns the software versions of the events.
	stream := func(i int) string {
		p := &program{id: w.newID(), session: w.newID(), budget: 24 * 288, most: 288}
		header := map[string]string{
			"Model-Id": "m", "Program-Id": p.id, "Session-Id": p.session, names["programDeadline"]: "8000",
			names["budget"]: fmt.Sprint(p.budget), names["usage"]: "1840,288", names["parts"]: "5c1e07a2:800," + p.session + ":1040",
		}
		attempt := w.newID()
		send := func(attempt string, in *instance) answer {
			return w.send(in, request{method: "POST", path: path, body: "input " + p.id, attempt: attempt, header: header})
		}
		a := send(attempt, w.instances[i%3])
		events := a.events()
		if !a.isWhole && len(events) > 0 {
			header["Last-Event-Id"], header["Resumes"] = idOf(events[len(events)-1]), attempt
			time.Sleep(100 * time.Millisecond)
			events = append(events, send(w.newID(), w.instances[(i+1)%3]).events()...)
		}
		seen := map[string]int{}
		for _, event := range events {
			if _, data, found := strings.Cut(event, "data: "); found {
				seen[strings.Fields(data)[0]]++
			}
		}
		if len(seen) < 2 {
			return ""
		}
		return fmt.Sprintf("the stream of attempt %s has events of %v", attempt, seen)
	}
	var mu sync.Mutex
	var mixed []string
	streams := func(n int) {
		var work sync.WaitGroup
		for i := range n {
			work.Go(func() {
				if m := stream(i); m != "" {
					mu.Lock()
					mixed = append(mixed, m)
					mu.Unlock()
				}
			})
		}
		work.Wait()
	}
	streams(36)
	for _, e := range engines[:3] {
		// In a calm moment the replica crashes, and starts again under its ID with other software. It registers
		// with its first heartbeat, and crashes once more after that.
		if isTrouble {
			e.crash()
			time.Sleep(100 * time.Millisecond)
			if err := e.up("v2", heartbeat); err != nil {
				return nil, err
			}
			time.AfterFunc(heartbeat+300*time.Millisecond, e.crash)
		}
		time.Sleep(400 * time.Millisecond)
		streams(36)
		time.Sleep(time.Second)
		if isTrouble {
			if err := e.up("v2", 0); err != nil {
				return nil, err
			}
		}
		time.Sleep(5 * time.Second)
	}
	for _, m := range mixed {
		w.log("mixed: %s", m)
	}
	if len(mixed) > 2 {
		return []string{fmt.Sprintf("ORDER: %d streams hold events of two software versions, for example: %s", len(mixed), mixed[0])}, nil
	}
	return nil, nil
}

// idOf returns the ID of an event.
func idOf(event string) string {
	_, rest, _ := strings.Cut(event, "id: ")
	id, _, _ := strings.Cut(rest, "\n")
	return id
}
