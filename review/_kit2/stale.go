package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stale"] = stale }

// keptConn is a connection of a caller that is kept for further requests.
type keptConn struct {
	net.Conn
	reader *bufio.Reader
}

func (w *world) open(in *instance) (*keptConn, error) {
	c, err := net.DialTimeout("tcp", in.frontend(), time.Second)
	if err != nil {
		return nil, err
	}
	return &keptConn{Conn: c, reader: bufio.NewReader(c)}, nil
}

// write sends the request on the connection.
func (w *world) write(c *keptConn, in *instance, r request) error {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n", r.method, r.path, host, r.attempt, r.timeout.Milliseconds(), len(r.body))
	for k, v := range r.header {
		head += k + ": " + v + "\r\n"
	}
	w.log("caller: attempt %s to %s on a kept connection: %s %s %v", r.attempt, in.name, r.method, r.path, r.header)
	_, err := io.WriteString(c, head+"\r\n"+r.body)
	return err
}

// read reads the answer to the attempt.
func (w *world) read(c *keptConn, attempt string, wait time.Duration) answer {
	c.SetReadDeadline(time.Now().Add(wait))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		w.log("caller: attempt %s: %v", attempt, err)
		return answer{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	a := answer{status: response.StatusCode, isWhole: err == nil, body: string(text), err: err}
	detail := ""
	if a.status >= 400 {
		detail = strings.TrimSpace(a.body)
	}
	w.log("caller: attempt %s: %s %s", attempt, a, detail)
	return a
}

// stale: a machine stands still while a route is added. When it wakes, it says of turns that were
// answered whole at another machine that there is no such thing.
func stale(w *world, isTrouble bool) ([]string, error) {
	kept := map[string]any{names["kept"]: true}
	first := streamRoute("r-first", "/lohu930/", kept)
	if err := w.configure(first); err != nil {
		return nil, err
	}
	for i := range 6 {
		if err := w.addEndpoint(fmt.Sprintf("i-e%d", i), engineService, []string{"qld-a", "qld-b", "qld-c"}[i%3], "v1").up("v1", 0); err != nil {
			return nil, err
		}
	}
	for i, zone := range []string{"qld-a", "qld-b", "qld-c"} {
		in, err := w.addInstance(fmt.Sprintf("edge-%s-%d", zone, i+1), zone)
		if err != nil {
			return nil, err
		}
		if err := in.start(); err != nil {
			return nil, err
		}
	}
	a, b := w.instances[0], w.instances[1]
	if err := awaitReady(w.instances...); err != nil {
		return nil, err
	}
	time.Sleep(6 * time.Second)
	header := func(program, previous string) map[string]string {
		h := map[string]string{
			"Model-Id": "m", "Program-Id": program, "Session-Id": program, names["programDeadline"]: "8000",
			names["budget"]: "2304", names["usage"]: "400,96", names["parts"]: "5c1e07a2:300," + program + ":100",
		}
		if previous != "" {
			h[names["previous"]] = previous
		}
		return h
	}
	const callers = 20
	conns := make([]*keptConn, callers)
	for i := range conns {
		c, err := w.open(b)
		if err != nil {
			return nil, err
		}
		conns[i] = c
		id := w.newID()
		if err := w.write(c, b, request{method: "POST", path: "/lohu930/1a", body: "hello " + id, attempt: id, timeout: 3 * time.Second, header: header(w.newID(), "")}); err != nil {
			return nil, err
		}
		if got := w.read(c, id, 3*time.Second); got.status != 200 || !got.isWhole {
			return nil, fmt.Errorf("a turn of before: %s", got)
		}
	}
	if isTrouble {
		b.signal(syscall.SIGSTOP)
		time.AfterFunc(4*time.Second, func() { b.signal(syscall.SIGCONT) })
		defer b.signal(syscall.SIGCONT)
	}
	time.Sleep(1300 * time.Millisecond)
	if err := w.configure(first, streamRoute("r-new", "/pufi791/", kept)); err != nil {
		return nil, err
	}
	// Later than config_deadline_ms after the acknowledgement, programs begin on the new route.
	time.Sleep(2050 * time.Millisecond)
	var mu sync.Mutex
	var violations []string
	var failure error
	var work sync.WaitGroup
	for i := range callers {
		work.Go(func() {
			program, turn := w.newID(), w.newID()
			if got := w.send(a, request{method: "POST", path: "/pufi791/1a", body: "begin " + turn, attempt: turn, header: header(program, "")}); got.status != 200 || !got.isWhole {
				mu.Lock()
				defer mu.Unlock()
				failure = fmt.Errorf("a first turn at %s: %s", a.name, got)
				return
			}
			id := w.newID()
			err := w.write(conns[i], b, request{method: "POST", path: "/pufi791/1a", body: "go on " + id, attempt: id, timeout: 3 * time.Second, header: header(program, turn)})
			got := answer{err: err}
			if err == nil {
				got = w.read(conns[i], id, 3*time.Second)
			}
			mu.Lock()
			defer mu.Unlock()
			switch {
			case got.status == 404 || got.status == 410:
				violations = append(violations, fmt.Sprintf("LOST: the turn %s after %s, which was answered whole, was answered %d by %s", id, turn, got.status, b.name))
			case got.status == 0:
				failure = fmt.Errorf("turn %s: %s", id, got)
			}
		})
	}
	work.Wait()
	return violations, failure
}
