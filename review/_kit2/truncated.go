package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/storer"
)

func init() { cases["truncated"] = truncated }

// engineMain is a model engine as a process of its own. Its streams have neither a length nor chunks and end
// with their connections.
func engineMain(address, id string, events int, eventTime time.Duration) int {
	born := time.Now()
	var mu sync.Mutex
	running := 0
	count := func(by int) int {
		mu.Lock()
		defer mu.Unlock()
		running += by
		return running
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/report":
			fmt.Fprintf(w, `{"phase":"combined","loaded_models":[{"name":"m","version":1,"adapter_ids":[]}],"busy":false,"sequence":0,"queued":0,"active":0,"kv_cache_used":0,"kv_cache_total":182071,"supported_models":0,"born":%d}`, born.UnixMilli())
			return
		case "/health":
			w.Header().Set(names["instance"], id)
			return
		}
		if expected := r.Header.Get(names["expected"]); expected != "" && expected != id {
			w.Header().Set(names["instance"], id)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		attempt := r.Header.Get(names["attempt"])
		from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		load := count(1)
		defer count(-1)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		fmt.Printf("runs attempt %s\n", attempt)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Signature: sig.%s.%s\r\nContent-Type: text/event-stream\r\nInstance-Load: %d,0,%d\r\nConnection: close\r\n\r\n", attempt, attempt, id, load, engineSlots)
		for k := from + 1; k <= events; k++ {
			time.Sleep(eventTime)
			if _, err := fmt.Fprintf(conn, "id: %d\ndata: %s %d\n\n", k, attempt, k); err != nil {
				return
			}
		}
		fmt.Printf("sent the last event of attempt %s\n", attempt)
	})
	if err := http.ListenAndServe(address, handler); err != nil {
		fmt.Println(err)
	}
	return 1
}

// engineProcess is an engine's process with its registration.
type engineProcess struct {
	*world
	id, ip, zone string
	command      *exec.Cmd
	born         time.Time
	sequence     int

	lines sync.Mutex
	done  map[string]bool
}

func (w *world) startEngine(id, zone string, events int, eventTime time.Duration) (*engineProcess, error) {
	e := &engineProcess{world: w, id: id, ip: w.address(), zone: zone, born: time.Now(), done: map[string]bool{}}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	e.command = exec.Command(self, "engine", e.ip+":8080", id, strconv.Itoa(events), eventTime.String())
	out, err := e.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := e.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			w.log("replica %s: %s", id, lines.Text())
			if attempt, found := strings.CutPrefix(lines.Text(), "sent the last event of attempt "); found {
				e.lines.Lock()
				e.done[attempt] = true
				e.lines.Unlock()
			}
		}
	}()
	return e, nil
}

// register writes the replica's registration.
func (e *engineProcess) register(state string) {
	e.sequence++
	text, _ := json.Marshal(map[string]any{
		"service": engineService, "address": e.ip + ":8080", "zone": e.zone, "version": "v1", names["slots"]: engineSlots, "state": state,
		names["cold"]: 0, "sequence": e.sequence, "born": e.born.UnixMilli(),
	})
	e.rows.Put(storer.RowKey{Table: "servers", Name: e.id}, text)
	e.log("replica %s: registered as %s", e.id, state)
}

func (e *engineProcess) kill() {
	e.command.Process.Kill()
	e.command.Wait()
}

// hasSentLast reports whether the replica sent the last event of the attempt.
func (e *engineProcess) hasSentLast(attempt string) bool {
	e.lines.Lock()
	defer e.lines.Unlock()
	return e.done[attempt]
}

// truncated: a replica that drains is killed in the middle of its streams, which have no length.
func truncated(w *world, isTrouble bool) ([]string, error) {
	const path, events = "/lohu930/2f", 24
	if err := w.configure(streamRoute("r-kept", "/lohu930/", map[string]any{names["kept"]: true})); err != nil {
		return nil, err
	}
	zones := []string{"qld-a", "qld-b", "qld-c"}
	var engines []*engineProcess
	defer func() {
		for _, e := range engines {
			e.kill()
		}
	}()
	for i := range 9 {
		e, err := w.startEngine(fmt.Sprintf("i-e%d", i), zones[i%3], events, 80*time.Millisecond)
		if err != nil {
			return nil, err
		}
		engines = append(engines, e)
	}
	time.Sleep(500 * time.Millisecond)
	for _, e := range engines {
		e.register("ready")
	}
	for i, zone := range zones {
		in, err := w.addInstance(fmt.Sprintf("edge-%s-%d", zone, i+1), zone)
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
	type result struct {
		attempt string
		answer
	}
	results := make(chan result, 72)
	for i := range cap(results) {
		go func() {
			attempt, program := w.newID(), w.newID()
			a := w.send(w.instances[i%3], request{method: "POST", path: path, body: "input " + attempt, attempt: attempt, header: map[string]string{
				"Model-Id": "m", "Program-Id": program, "Session-Id": program, names["programDeadline"]: "8000",
				names["budget"]: "2304", names["usage"]: "400,288", names["parts"]: "5c1e07a2:300," + program + ":100",
			}})
			results <- result{attempt, a}
		}()
	}
	time.Sleep(500 * time.Millisecond)
	// A replica reports that it drains. Half a second later its process is killed.
	engines[0].register("draining")
	time.Sleep(500 * time.Millisecond)
	if isTrouble {
		engines[0].kill()
		w.log("replica %s: killed", engines[0].id)
	}
	var violations []string
	for range cap(results) {
		r := <-results
		time.Sleep(10 * time.Millisecond)
		if r.status != 200 || !r.isWhole || len(r.events()) == events {
			continue
		}
		hasSentLast := false
		for _, e := range engines {
			hasSentLast = hasSentLast || e.hasSentLast(r.attempt)
		}
		if hasSentLast {
			continue
		}
		// The caller goes on from the turn, which it holds to be complete.
		id := w.newID()
		next := w.send(w.instances[0], request{method: "POST", path: path, body: "next " + id, attempt: id, header: map[string]string{
			"Model-Id": "m", "Program-Id": id, "Session-Id": id, names["programDeadline"]: "8000", names["previous"]: r.attempt,
			names["budget"]: "2304", names["usage"]: "400,288", names["parts"]: "5c1e07a2:300," + id + ":100",
		}, timeout: 3 * time.Second})
		violations = append(violations, fmt.Sprintf("ORDER: the stream of attempt %s ended as complete after %d of %d events; a turn that goes on from it is answered %d", r.attempt, len(r.events()), events, next.status))
	}
	return violations, nil
}
