package relayer

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/logger"
)

var (
	eventServed = logger.Define(5001, "RequestServed", log.InfoLevel,
		"a request was answered by an endpoint", "None.")
	eventFailed = logger.Define(5002, "RequestFailed", log.WarnLevel,
		"a request was refused or broken off", "See docs/OPERATIONS.md for the way from Reason to the cause.")
	eventRetried = logger.Define(5003, "RequestRetried", log.InfoLevel,
		"a request goes on after a failed attempt", "None; look at the endpoint if it is always the same.")
	eventTurnUnsettled = logger.Define(5004, "TurnUnsettled", log.WarnLevel,
		"a turn's unused tokens could not be given back", "None; the bookkeeper counts the turn at its most.")
)

// accessRecord is what the closing line of a request tells.
type accessRecord struct {
	outcome    string
	status     int
	kind       answerer.Kind
	reason     string
	cause      error
	endpoint   string
	load       float64
	loadAge    time.Duration
	meanLoad   float64
	sendCount  int
	firstEvent time.Duration
	recordTime time.Duration
}

// refuse answers with the error.
func (x *exchange) refuse(e *answerer.Error, reason string) {
	answer := e.Answer()
	x.access.outcome, x.access.kind, x.access.reason = "Refused", e.Kind, reason
	x.access.status, x.access.cause = answer.Status, e.Cause
	x.Metrics.CountRefusal(e.Kind, reason)
	header := x.writer.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	x.Dialect.EncodeRefusal(header, x.call.ID, answer.After)
	x.writer.WriteHeader(answer.Status)
	if _, err := x.writer.Write([]byte(string(e.Kind) + ": " + e.Detail + "\n")); err != nil {
		x.access.cause = err
	}
}

// logAccess writes the closing line.
func (x *exchange) logAccess() {
	s, total := &x.access, time.Since(x.arrival)
	x.Metrics.ObserveRequest(x.route, s.outcome, total)
	pairs := make([]any, 0, 32)
	pairs = append(pairs, "Request", x.call.ID, "Outcome", s.outcome, "Total", total)
	add := func(isSet bool, name string, value any) {
		if isSet {
			pairs = append(pairs, name, value)
		}
	}
	add(x.call.Program != "", "Program", x.call.Program)
	add(x.call.PreviousTurn != "", "Previous", x.call.PreviousTurn)
	if x.route != nil {
		pairs = append(pairs, "Route", x.route.Name, "Version", x.table.Version)
	}
	add(s.status != 0, "Status", s.status)
	add(s.kind != "", "Kind", s.kind)
	add(s.reason != "", "Reason", s.reason)
	if s.endpoint != "" {
		pairs = append(pairs, "Endpoint", s.endpoint, "Load", s.load, "LoadAge", s.loadAge, "Sends", s.sendCount)
	}
	add(s.meanLoad > 0, "MeanLoad", s.meanLoad)
	add(s.firstEvent > 0, "First", s.firstEvent)
	add(s.recordTime > 0, "Held", s.recordTime)
	add(s.cause != nil, "Cause", s.cause)
	event := eventFailed
	if s.outcome == "Served" && s.status < http.StatusBadRequest {
		if event = eventServed; !x.isLogged() {
			return
		}
	}
	x.Log.Log(event, pairs...)
}

// isLogged says whether served requests of the program are logged. All instances
// choose the same programs, whose stories are then whole. A request that took
// more than one send is logged like a failed one.
func (x *exchange) isLogged() bool {
	const scale = 1 << 32
	return x.access.sendCount > 1 || float64(xxhash.Sum64String(x.placementKey())%scale) < x.ServedShare*scale
}
