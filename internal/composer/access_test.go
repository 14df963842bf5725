package composer_test

import (
	"bytes"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/correlator"
	"github.com/wigeonstand/wigeonstand/internal/fakeplatform"
	"github.com/wigeonstand/wigeonstand/platform/standin"
)

// failureRecord holds the fields of a failed request's access log line that name
// the cause.
type failureRecord struct {
	Outcome, Kind, Reason string
	HasEndpoint, HasCause bool
}

// failureOf waits for the RequestFailed line of the request and returns its cause.
func (f *fleet) failureOf(id string) failureRecord {
	f.t.Helper()
	var out failureRecord
	f.await("the access log line of "+id, func() bool {
		lines, _, err := correlator.Read(bytes.NewReader(f.log.bytes()))
		if err != nil {
			f.t.Fatal(err)
		}
		for _, line := range correlator.Correlate(lines, id) {
			if line.Request != id || line.Name != "RequestFailed" {
				continue
			}
			for _, field := range line.Fields {
				switch field.Name {
				case "Outcome":
					out.Outcome = field.Value
				case "Kind":
					out.Kind = field.Value
				case "Reason":
					out.Reason = field.Value
				case "Endpoint":
					out.HasEndpoint = true
				case "Cause":
					out.HasCause = true
				}
			}
		}
		return out != failureRecord{}
	})
	return out
}

// The log lines of a request's ID name the cause of each kind of failure.
func TestAccessLogNamesFailureCause(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name string
		// fail causes the failure and sends the request "lost".
		fail func(f *fleet)
		want failureRecord
	}{
		{"NoRoute", func(f *fleet) {
			f.do(f.instances[0], standin.Call{ID: "lost", Path: "/nowhere/x"})
		}, failureRecord{Outcome: "Refused", Kind: "NotFound", Reason: "NoRoute"}},
		{"NoTurn", func(f *fleet) {
			f.do(f.instances[0], turnCall("lost", "p", "never-was", "in\n"))
		}, failureRecord{Outcome: "Refused", Kind: "NotFound", Reason: "NoTurn"}},
		{"BudgetExhausted", func(f *fleet) {
			call := turnCall("lost", "p", "", "in\n")
			call.Budget = call.MaxTokens / 2
			f.do(f.instances[0], call)
		}, failureRecord{Outcome: "Refused", Kind: "BudgetExhausted", Reason: "Books", HasCause: true}},
		{"StoreOutageAtReservation", func(f *fleet) {
			f.rows.SetFaults(fakeplatform.RowFaults{Outage: true})
			f.do(f.instances[0], turnCall("lost", "p", "", "in\n"))
		}, failureRecord{Outcome: "Refused", Kind: "StoreUnavailable", Reason: "Books"}},
		{"StoreOutageAtTranscript", func(f *fleet) {
			f.rows.SetFaults(fakeplatform.RowFaults{Outage: true})
			call := turnCall("lost", "p", "elsewhere", "in\n")
			call.Budget = 0
			f.do(f.instances[0], call)
		}, failureRecord{Outcome: "Refused", Kind: "StoreUnavailable", Reason: "Transcript", HasCause: true}},
		{"StoreOutageAtRecord", func(f *fleet) {
			f.do(f.instances[0], turnCall("first", "p", "", "in\n"))
			f.rows.SetFaults(fakeplatform.RowFaults{Outage: true})
			f.do(f.instances[0], turnCall("lost", "p", "first", "in\n"))
		}, failureRecord{Outcome: "NotRecorded", HasEndpoint: true}},
		{"NoEndpoint", func(f *fleet) {
			standin.Unregister(f.rows, f.services[0].ID)
			f.await("the endpoint is unregistered", func() bool {
				return f.do(f.instances[0], standin.Call{ID: "probe", Path: standin.PathLookup + "x"}).Status == http.StatusServiceUnavailable
			})
			f.do(f.instances[0], standin.Call{ID: "lost", Path: standin.PathPost + "x"})
		}, failureRecord{Outcome: "Refused", Kind: "NoEndpoint", Reason: "NoEndpoint"}},
		{"ResponseLost", func(f *fleet) {
			f.services[0].SetFaults(standin.EndpointFaults{Dropped: 1})
			f.do(f.instances[0], standin.Call{ID: "lost", Path: standin.PathPost + "x"})
		}, failureRecord{Outcome: "Refused", Kind: "OutcomeUnknown", Reason: "BrokenOff", HasEndpoint: true, HasCause: true}},
		{"ResponseTruncated", func(f *fleet) {
			f.services[0].SetFaults(standin.EndpointFaults{Truncated: 1})
			f.do(f.instances[0], standin.Call{ID: "lost", Path: standin.PathPost + "x"})
		}, failureRecord{Outcome: "Refused", Kind: "OutcomeUnknown", Reason: "BrokenOff", HasEndpoint: true, HasCause: true}},
		{"RefusedByAllEndpoints", func(f *fleet) {
			f.services[0].SetFaults(standin.EndpointFaults{Rejected: 1})
			f.do(f.instances[0], standin.Call{ID: "lost", Path: standin.PathPost + "x"})
		}, failureRecord{Outcome: "Refused", Kind: "NoEndpoint", Reason: "NoEndpoint", HasEndpoint: true, HasCause: true}},
		{"TooSlow", func(f *fleet) {
			f.services[0].ServiceTime = time.Second
			f.do(f.instances[0], standin.Call{ID: "lost", Path: standin.PathPost + "x", Deadline: 300 * time.Millisecond, GracePeriod: time.Second})
		}, failureRecord{Outcome: "Refused", Kind: "DeadlineRan", Reason: "Deadline", HasEndpoint: true, HasCause: true}},
		{"EndpointLimits", func(f *fleet) {
			f.engines[0].SetLimit(0.5)
			// The first response states the limit, and the second request takes its permit.
			for _, id := range []string{"first", "second", "lost"} {
				f.do(f.instances[0], sessionCall(id, id))
			}
		}, failureRecord{Outcome: "Refused", Kind: "Overloaded", Reason: "EndpointLimits", HasCause: true}},
		{"UnknownVersion", func(f *fleet) {
			call := sessionCall("lost", "p")
			call.Resumes, call.LastEventID = "never-was", 2
			f.do(f.instances[0], call)
		}, failureRecord{Outcome: "Refused", Kind: "NoEndpoint", Reason: "UnknownVersion"}},
		{"RetainedStream", func(f *fleet) {
			call := turnCall("lost", "p", "", "in\n")
			call.Resumes, call.LastEventID = "first", 2
			f.do(f.instances[0], call)
		}, failureRecord{Outcome: "Refused", Kind: "NoEndpoint", Reason: "RetainedStream"}},
		{"StreamTruncated", func(f *fleet) {
			f.engines[0].SetFaults(standin.EndpointFaults{Truncated: 1})
			f.do(f.instances[0], turnCall("lost", "p", "", "in\n"))
		}, failureRecord{Outcome: "BrokenOff", HasEndpoint: true, HasCause: true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 1, 1, 1)
			tc.fail(f)
			if diff := cmp.Diff(tc.want, f.failureOf("lost")); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Served requests outside the served share are not logged; failures always are.
func TestServedShareOmitsNoFailures(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 1, 1)
	unlogged := f.startWithSettings("entry-quiet", func(s *settings) { s.Log.ServedShare = 0 })
	f.awaitReady(unlogged)
	if reply := f.do(unlogged, standin.Call{ID: "served", Path: standin.PathPost + "x"}); reply.Status != http.StatusOK {
		t.Fatalf("%+v", reply)
	}
	f.services[0].SetFaults(standin.EndpointFaults{Dropped: 1})
	f.do(unlogged, standin.Call{ID: "lost", Path: standin.PathPost + "x"})
	if diff := cmp.Diff("OutcomeUnknown", f.failureOf("lost").Kind); diff != "" {
		t.Error(diff)
	}
	lines, _, err := correlator.Read(bytes.NewReader(f.log.bytes()))
	if err != nil {
		t.Fatal(err)
	}
	if story := correlator.Correlate(lines, "served"); len(story) > 0 {
		t.Errorf("%+v", story)
	}
}
