package relayer

import (
	"context"
	"io"
	"net/http"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/wigeonstand/wigeonstand/internal/registrar"
	"github.com/wigeonstand/wigeonstand/internal/resumer"
	"github.com/wigeonstand/wigeonstand/internal/sender"
)

const (
	// reportTimeout limits the wait for the report of an endpoint on itself.
	reportTimeout  = 300 * time.Millisecond
	maxReportBytes = 64 << 10
	// maxProcesses limits the number of processes whose last report is remembered.
	maxProcesses = 1 << 13
)

// processes remembers when the registered processes of endpoints were last known to run. A
// registration shows a restart seconds later, and with it the version of the new process's software.
type processes struct {
	// seenAt holds, by registrar.Endpoint.Process, when the last report of the process was asked for.
	seenAt *lru.Cache[string, time.Time]
}

func newProcesses() *processes {
	seenAt, _ := lru.New[string, time.Time](maxProcesses) // It fails only for a size of 0.
	return &processes{seenAt: seenAt}
}

// isSeen reports whether the registered process of the candidate is known to have run at the time. An
// endpoint whose registration has no start time counts as the registered one.
func (p *processes) isSeen(c registrar.Candidate, at time.Time) bool {
	if c.Started.IsZero() {
		return true
	}
	seenAt, _ := p.seenAt.Get(c.Process())
	return !seenAt.Before(at)
}

// askVersion asks the candidate which process it is. It returns the version of its software, and false
// if that is not known, as the process is not the registered one. An endpoint that does not report its
// start time counts as the registered one.
func (x *exchange) askVersion(ctx context.Context, c registrar.Candidate) (version string, isKnown bool) {
	start := time.Now()
	started := x.askStart(ctx, c)
	switch {
	case started.IsZero():
		return c.Version, true
	case started.Equal(c.Started):
		x.processes.seenAt.Add(c.Process(), start)
		return c.Version, true
	}
	x.Log.Log(eventEndpointRestarted, "Request", x.call.ID, "Endpoint", c.ID, "Registered", c.Started, "Started", started)
	if e, isRegistered := x.Endpoints.Find(c.ID); isRegistered && e.Address == c.Address && e.Started.Equal(started) {
		return e.Version, true
	}
	return "", false
}

// askStart asks the candidate for the start time of its process; zero if it does not report one.
func (x *exchange) askStart(ctx context.Context, c registrar.Candidate) time.Time {
	response, err := x.Sender.Send(ctx, sender.Request{
		Address: c.Address, Method: http.MethodGet, Target: x.Dialect.ReportTarget(), Host: x.call.Host, IsRepeatable: true,
	})
	if err != nil {
		return time.Time{}
	}
	defer response.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	if err != nil || response.Status != http.StatusOK {
		return time.Time{}
	}
	return x.Dialect.DecodeReport(body)
}

// hasRestarted reports whether another process than the registered one is at the candidate.
func (t *turn) hasRestarted(c registrar.Candidate) bool {
	if c.Started.IsZero() {
		return false
	}
	ctx, cancel := context.WithTimeout(t.ctx, min(reportTimeout, t.timeLeft()/4))
	defer cancel()
	version, isKnown := t.askVersion(ctx, c)
	return !isKnown || version != c.Version
}

// begin records what began the stream, if it has not begun before: the process to which the connection
// was opened. If that may not be the registered one, the endpoint is asked while the events go on, and
// until then there is no record.
func (t *turn) begin(c registrar.Candidate, connectedAt time.Time) {
	if t.origin != nil {
		return
	}
	t.origin = &resumer.Origin{Service: c.Service, Version: c.Version}
	if !t.route.Resumable {
		return
	}
	if t.processes.isSeen(c, connectedAt) {
		t.Streams.Record(t.call.ID, *t.origin)
		return
	}
	asked := make(chan resumer.Origin, 1)
	t.askedOrigin = asked
	x, stream := t.exchange, t.call.ID
	// The record outlives a caller that disconnects, as it may resume the stream.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(t.ctx), reportTimeout)
	go func() {
		defer cancel()
		defer close(asked)
		version, isKnown := x.askVersion(ctx, c)
		origin := resumer.Origin{Service: c.Service, Version: version}
		// The record of an unknown version keeps other instances from taking the only one that they know for it.
		x.Streams.Record(stream, origin)
		if isKnown {
			asked <- origin
		}
	}()
}

// isOriginKnown reports whether the version that began the stream is known. It waits for the endpoint
// that was asked.
func (t *turn) isOriginKnown() bool {
	if t.askedOrigin == nil {
		return true
	}
	origin, isKnown := <-t.askedOrigin
	if isKnown {
		t.origin, t.askedOrigin = &origin, nil
	}
	return isKnown
}
