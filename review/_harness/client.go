package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const hostName = "ficu95.example"

// request is one client attempt.
type request struct {
	id, method, path, body string
	headers                map[string]string
	deadline               time.Duration
}

// answer is what the client got.
type answer struct {
	status     int
	header     http.Header
	body       []byte
	isComplete bool
	err        error
	sentAt     time.Time
	took       time.Duration
	instance   string
}

// send sends the request to the machine on a new connection.
func (w *world) send(ctx context.Context, in *instance, r request) answer {
	a := answer{sentAt: time.Now(), instance: in.name}
	ctx, cancel := context.WithTimeout(ctx, r.deadline+200*time.Millisecond)
	defer cancel()
	out, err := http.NewRequestWithContext(ctx, r.method, fmt.Sprintf("http://%s:%d%s", in.host, in.frontend, r.path), strings.NewReader(r.body))
	if err != nil {
		a.err = err
		return a
	}
	out.Host, out.GetBody = hostName, nil
	out.Header.Set(names["id"], r.id)
	out.Header.Set(names["deadline"], strconv.FormatInt(r.deadline.Milliseconds(), 10))
	for name, value := range r.headers {
		out.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	response, err := (&http.Client{Transport: transport}).Do(out)
	if err == nil {
		a.status, a.header = response.StatusCode, response.Header
		a.body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.isComplete = err == nil
	}
	a.err, a.took = err, time.Since(a.sentAt)
	return a
}

// returnAfter returns the time of a Retry-After header; zero if there is none.
func (a answer) returnAfter() time.Duration {
	seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// eventData returns the data of the events, each followed by a line feed.
func (a answer) eventData() string {
	var out strings.Builder
	for line := range bytes.Lines(a.body) {
		if data, found := bytes.CutPrefix(line, []byte("data: ")); found {
			out.Write(data)
		}
	}
	return out.String()
}

// isWhole reports whether the answer is a whole success of a replica.
func (a answer) isWhole() bool {
	return a.status == http.StatusOK && a.isComplete && a.header.Get(names["signature"]) != ""
}

func (a answer) String() string {
	if a.err != nil && a.status == 0 {
		return fmt.Sprintf("no answer from %s after %v: %v", a.instance, a.took.Round(time.Millisecond), a.err)
	}
	first, _, _ := strings.Cut(string(a.body), "\n")
	if a.status == http.StatusOK {
		first = fmt.Sprintf("%d bytes", len(a.body))
	}
	return fmt.Sprintf("%d from %s after %v, whole %t, Retry-After %q: %s", a.status, a.instance, a.took.Round(time.Millisecond), a.isComplete, a.header.Get("Retry-After"), first)
}
