package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/wigeonstand/wigeonstand/platform/standin"
)

func init() { cases["bodies"] = bodies }

const (
	// bodyBytes is max_body_bytes of the site's configuration.
	bodyBytes = 4194304
	// usualClients is the number of clients of a machine, and burstFactor the largest x of
	// burst in the site file. burstLength is the longest for_s of it.
	usualClients = 20
	burstFactor  = 2.3
	burstClients = usualClients * 23 / 10
	burstLength  = 6 * time.Second
	// memoryLimit is memory_mb of the site.
	memoryLimit = 154 << 20
	// burstMachines is the number of machines with the clients, a tenth of the machines but
	// two at least, and endsOfRule how often processes have to end there.
	burstMachines = 2
	endsOfRule    = 3
	bodyDeadline  = 3 * time.Second
)

// sink is a replica that keeps no bodies.
type sink struct {
	id   string
	mu   sync.Mutex
	runs map[string]bool
}

// ServeHTTP implements http.Handler.
func (s *sink) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(names["id"])
	if r.Header.Get(names["instance"]) != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // The request did not arrive whole and does not run.
	}
	s.mu.Lock()
	s.runs[id] = true
	s.mu.Unlock()
	time.Sleep(feeWork)
	w.Header().Set(names["id"], id)
	w.Header().Set(names["signature"], standin.SignatureOf(id))
	_, _ = io.WriteString(w, "answer to "+id+"\n")
}

func (s *sink) count(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs[id] {
		return 1
	}
	return 0
}

// anonymous returns the anonymous memory of the process, without the pages of its program.
func (in *instance) anonymous() int64 {
	in.mu.Lock()
	pid := in.command.Process.Pid
	in.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "RssAnon:" {
			kib, _ := strconv.ParseInt(fields[1], 10, 64)
			return kib << 10
		}
	}
	return 0
}

// limitMemory kills the process when it exceeds memory_mb, as the platform does, and starts it
// again. It returns the number of ends and the most memory so far.
func (in *instance) limitMemory(ctx context.Context) func() (int, int64) {
	var mu sync.Mutex
	ends, most := 0, int64(0)
	go func() {
		for ctx.Err() == nil {
			used := in.anonymous()
			mu.Lock()
			most = max(most, used)
			mu.Unlock()
			if used > memoryLimit {
				in.log("%s has %d MiB of memory, more than memory_mb (154): the platform ends it", in.name, used>>20)
				<-in.signal(syscall.SIGKILL)
				mu.Lock()
				ends++
				mu.Unlock()
				time.Sleep(500 * time.Millisecond)
				_ = in.start()
			}
			time.Sleep(5 * time.Millisecond)
		}
	}()
	return func() (int, int64) {
		mu.Lock()
		defer mu.Unlock()
		return ends, most
	}
}

// bodies plays clients that send bodies of max_body_bytes, and more of them at once for a time.
func bodies(ctx context.Context, w *world, hasTrouble bool) (bool, error) {
	routes := []route{{
		"name": "fee-post", "hostname": hostName, "prefix": "/pule252/", "type": "unsafe", "timeout_ms": 3000,
		"target_latency_ms": 500, "priority": 2, "service": "xano55b", names["attempts"]: 1,
	}}
	if err := w.configure(1, routes, []map[string]any{{"name": "xano55b", "health_path": "/health", "max_connections": 110}}); err != nil {
		return false, err
	}
	var replicas []*sink
	for i := range appReplicas {
		s := &sink{id: fmt.Sprintf("i-app%d", i), runs: map[string]bool{}}
		address, err := serve(s)
		if err != nil {
			return false, err
		}
		replicas = append(replicas, s)
		if err := w.register(s.id, "xano55b", address, []string{"ee-tln", "ee-trt", "ee-prn"}[i%3], "ready", appSlots, time.Now().UnixMilli(), 1); err != nil {
			return false, err
		}
	}
	if err := w.addInstances(map[string]int{"ee-tln": 5, "ee-trt": 4, "ee-prn": 3}, []string{"ee-tln", "ee-trt", "ee-prn"}); err != nil {
		return false, err
	}
	if err := w.startAll(ctx); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	body := strings.Repeat("x", bodyBytes)
	var mu sync.Mutex
	sent, served, unanswered := 0, 0, 0
	var work sync.WaitGroup
	client := func(in *instance, name string, end time.Time) {
		for n := 0; time.Now().Before(end); n++ {
			id := fmt.Sprintf("%s-%s-%d", in.name, name, n)
			a := w.send(ctx, in, request{id: id, method: http.MethodPost, path: "/pule252/2f", body: body, deadline: bodyDeadline})
			runs := 0
			for _, s := range replicas {
				runs += s.count(id)
			}
			mu.Lock()
			sent++
			switch {
			case a.isWhole():
				served++
			case runs > 0 && a.status == 0:
				unanswered++
				w.log("%s ran and has no answer: %v", id, a.err)
			}
			mu.Unlock()
			if !a.isWhole() {
				time.Sleep(200 * time.Millisecond)
			}
		}
	}
	var counts []func() (int, int64)
	rounds := 3
	length := time.Duration(rounds) * 2 * burstLength
	end := time.Now().Add(length)
	for _, in := range w.instances[:burstMachines] {
		counts = append(counts, in.limitMemory(ctx))
		for c := range usualClients {
			work.Go(func() { client(in, fmt.Sprint("usual", c), end) })
		}
	}
	for round := range rounds {
		time.Sleep(burstLength)
		if hasTrouble {
			w.log("many users come at once: %g times as many clients for %v", burstFactor, burstLength)
			burstEnd := time.Now().Add(burstLength)
			for _, in := range w.instances[:burstMachines] {
				for c := range burstClients - usualClients {
					work.Go(func() { client(in, fmt.Sprintf("burst%d-%d", round, c), burstEnd) })
				}
			}
		}
		time.Sleep(burstLength)
	}
	work.Wait()
	machines := 0
	for i, count := range counts {
		ends, most := count()
		if ends >= endsOfRule {
			machines++
		}
		w.log("result: %s was ended %d times; most memory %d MiB", w.instances[i].name, ends, most>>20)
		fmt.Printf("%s was ended %d times, most memory %d MiB\n", w.instances[i].name, ends, most>>20)
	}
	w.log("result: %d requests, %d served, %d ran and had no answer; machines with %d ends or more: %d", sent, served, unanswered, endsOfRule, machines)
	fmt.Printf("%d requests, %d served, %d ran and had no answer\n", sent, served, unanswered)
	return machines >= burstMachines, nil
}
