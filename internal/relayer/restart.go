package relayer

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/registrar"
	"github.com/wigeonstand/wigeonstand/internal/sender"
)

const (
	// reportTimeout limits the wait for the report of an endpoint on itself.
	reportTimeout  = 300 * time.Millisecond
	maxReportBytes = 64 << 10
)

// hasRestarted reports whether another process than the registered one is at the candidate. The
// registration shows a restart seconds later, and with it the version of the new process's software.
// An endpoint that does not report its start time counts as the registered one.
func (t *turn) hasRestarted(c registrar.Candidate) bool {
	if c.Started.IsZero() {
		return false
	}
	ctx, cancel := context.WithTimeout(t.ctx, min(reportTimeout, t.timeLeft()/4))
	defer cancel()
	response, err := t.Sender.Send(ctx, sender.Request{
		Address: c.Address, Method: http.MethodGet, Target: t.Dialect.ReportTarget(), Host: t.call.Host, IsRepeatable: true,
	})
	if err != nil {
		return false
	}
	defer response.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	if err != nil || response.Status != http.StatusOK {
		return false
	}
	started := t.Dialect.DecodeReport(body)
	if started.IsZero() || started.Equal(c.Started) {
		return false
	}
	t.Log.Log(eventEndpointRestarted, "Request", t.call.ID, "Endpoint", c.ID, "Registered", c.Started, "Started", started)
	return true
}
