package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/storer"
)

// run is a request that an endpoint began to run.
type run struct {
	at             time.Time
	attempt, body  string
	version, store string
	lastEvent      string
}

// endpoint is a stand-in of a replica: a model engine or a replica of a plain service.
type endpoint struct {
	*world
	id, service, zone, ip string
	slots                 int
	// eventTime is the time of an event of an engine, workTime that of a plain request.
	eventTime, workTime time.Duration
	// events limits the events of a stream; zero for as many as the request allows.
	events int
	// poison is a text in bodies that crash the replica, which is back after downTime.
	poison   string
	downTime time.Duration
	// onEvent is called before an event is sent. If it returns false, the stream breaks off.
	onEvent func(attempt string, number int) bool

	mu         sync.Mutex
	version    string
	born       time.Time
	server     *http.Server
	stopBeat   context.CancelFunc
	conns      map[net.Conn]struct{}
	isUp       bool
	sequence   int
	running    int
	runs       []run
	isDraining bool
}

func (w *world) addEndpoint(id, service, zone, version string) *endpoint {
	slots := engineSlots
	if service == plainService {
		slots = serviceSlots
	}
	return &endpoint{
		world: w, id: id, service: service, zone: zone, ip: w.address(), slots: slots, version: version,
		eventTime: 5 * time.Millisecond, workTime: 20 * time.Millisecond, downTime: 3 * time.Second, conns: map[net.Conn]struct{}{},
	}
}

// up starts the replica's process. It registers after the delay, and then every heartbeat.
func (e *endpoint) up(version string, registerAfter time.Duration) error {
	listener, err := net.Listen("tcp", e.ip+":8080")
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version, e.born, e.isUp, e.sequence, e.running, e.isDraining = version, time.Now(), true, 0, 0, false
	e.server = &http.Server{Handler: e, ConnState: func(c net.Conn, s http.ConnState) {
		e.mu.Lock()
		defer e.mu.Unlock()
		if s == http.StateClosed || s == http.StateHijacked {
			delete(e.conns, c)
		} else {
			e.conns[c] = struct{}{}
		}
	}}
	go e.server.Serve(listener)
	ctx, stop := context.WithCancel(e.ctx)
	e.stopBeat = stop
	go e.beat(ctx, registerAfter)
	e.log("replica %s: process started, software %s, born %d", e.id, version, e.born.UnixMilli())
	return nil
}

func (e *endpoint) beat(ctx context.Context, wait time.Duration) {
	for {
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		if ctx.Err() == nil {
			e.register()
		}
		wait = heartbeat
	}
}

func (e *endpoint) register() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.world.mu.Lock()
	isAway := e.world.isAway
	e.world.mu.Unlock()
	if !e.isUp || isAway {
		return
	}
	e.sequence++
	state := "ready"
	if e.isDraining {
		state = "draining"
	}
	text, _ := json.Marshal(map[string]any{
		"service": e.service, "address": e.ip + ":8080", "zone": e.zone, "version": e.version, names["slots"]: e.slots, "state": state,
		names["cold"]: 0, "sequence": e.sequence, "born": e.born.UnixMilli(),
	})
	e.rows.Put(storer.RowKey{Table: "servers", Name: e.id}, text)
	if e.sequence == 1 {
		e.log("replica %s: registered as software %s", e.id, e.version)
	}
}

// crash ends the replica's process: it refuses connections, and its connections are reset.
func (e *endpoint) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.isUp {
		return
	}
	e.isUp = false
	e.stopBeat()
	conns := e.conns
	e.conns = map[net.Conn]struct{}{}
	for c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
	}
	server := e.server
	e.log("replica %s: crashed", e.id)
	go server.Close()
}

func (e *endpoint) addRun(r run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.at, r.version = time.Now(), e.version
	e.runs = append(e.runs, r)
	e.running++
	e.log("replica %s (%s): runs attempt %s, %d bytes, Last-Event-Id %q", e.id, e.version, r.attempt, len(r.body), r.lastEvent)
}

func (e *endpoint) allRuns() []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]run(nil), e.runs...)
}

// ServeHTTP implements http.Handler.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	born, version := e.born, e.version
	load := fmt.Sprintf("%d,0,%d", e.running, e.slots)
	e.mu.Unlock()
	switch r.URL.Path {
	case "/report":
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"phase":"combined","loaded_models":[{"name":"m","version":1,"adapter_ids":[]}],"busy":false,"sequence":0,"queued":0,"active":0,"kv_cache_used":0,"kv_cache_total":182071,"supported_models":0,"born":%d}`, born.UnixMilli())
		return
	case "/health":
		w.Header().Set(names["instance"], e.id)
		w.Header().Set(names["load"], load)
		return
	}
	if expected := r.Header.Get(names["expected"]); expected != "" && expected != e.id {
		w.Header().Set(names["instance"], e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	attempt := r.Header.Get(names["attempt"])
	if attempt == "" {
		w.Header().Set(names["notRun"], "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.addRun(run{attempt: attempt, body: string(body), lastEvent: r.Header.Get("Last-Event-Id")})
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	if e.poison != "" && strings.Contains(string(body), e.poison) {
		time.Sleep(5 * time.Millisecond)
		e.crash()
		time.AfterFunc(e.downTime, func() {
			if e.ctx.Err() == nil {
				e.up(version, 0)
			}
		})
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(names["attempt"], attempt)
	w.Header().Set(names["signature"], "sig."+attempt+"."+e.id)
	w.Header().Set(names["load"], load)
	w.Header().Set("Keep-Alive", "timeout=5")
	if e.service == plainService {
		time.Sleep(e.workTime)
		io.WriteString(w, "done "+attempt+"\n")
		return
	}
	_, most, _ := strings.Cut(r.Header.Get(names["usage"]), ",")
	tokens, _ := strconv.Atoi(strings.TrimSpace(most))
	n := tokens / chunkTokens
	if e.events > 0 {
		n = min(n, e.events)
	}
	from := 0
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		from, _ = strconv.Atoi(last)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(names["weights"], "1")
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	for k := from + 1; k <= n; k++ {
		time.Sleep(e.eventTime)
		if r.Context().Err() != nil || (e.onEvent != nil && !e.onEvent(attempt, k)) {
			panic(http.ErrAbortHandler)
		}
		// The event names the software that made it, so that the caller sees it.
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s %d\n\n", k, version, attempt, k); err != nil {
			return
		}
		controller.Flush()
	}
}

// answer is what a caller got.
type answer struct {
	status int
	// isWhole is true if the answer came to its end.
	isWhole bool
	body    string
	err     error
}

func (a answer) String() string {
	return fmt.Sprintf("status %d, whole %t, %d bytes, error %v", a.status, a.isWhole, len(a.body), a.err)
}

// events returns the whole events of a stream.
func (a answer) events() []string {
	var out []string
	parts := strings.Split(a.body, "\n\n")
	for _, part := range parts[:len(parts)-1] {
		out = append(out, part)
	}
	return out
}

// request is one attempt of a caller.
type request struct {
	method, path, body string
	attempt            string
	header             map[string]string
	timeout            time.Duration
}

// send sends the attempt to the instance on a new connection.
func (w *world) send(in *instance, r request) answer {
	if r.attempt == "" {
		r.attempt = w.newID()
	}
	if r.timeout == 0 {
		r.timeout = 3 * time.Second
	}
	ctx, cancel := context.WithTimeout(w.ctx, r.timeout)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, r.method, "http://"+in.frontend()+r.path, strings.NewReader(r.body))
	if err != nil {
		return answer{err: err}
	}
	httpRequest.Host = host
	httpRequest.Header.Set(names["attempt"], r.attempt)
	httpRequest.Header.Set(names["deadline"], strconv.FormatInt(r.timeout.Milliseconds(), 10))
	for k, v := range r.header {
		httpRequest.Header.Set(k, v)
	}
	w.log("caller: attempt %s to %s: %s %s %v", r.attempt, in.name, r.method, r.path, r.header)
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(httpRequest)
	if err != nil {
		w.log("caller: attempt %s: %v", r.attempt, err)
		return answer{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	a := answer{status: response.StatusCode, isWhole: err == nil, body: string(text), err: err}
	if errors.Is(err, io.EOF) {
		a.isWhole = true
	}
	detail := ""
	if a.status >= 400 {
		detail = strings.TrimSpace(a.body)
	}
	w.log("caller: attempt %s: %s %s", r.attempt, a, detail)
	return a
}
