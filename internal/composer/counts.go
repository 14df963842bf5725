package composer

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/matcher"
	"github.com/wigeonstand/wigeonstand/internal/meter"
	"github.com/wigeonstand/wigeonstand/internal/sender"
)

// counts are the metrics of an Entry.
type counts struct {
	answered *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
	first    prometheus.Histogram
	refused  *prometheus.CounterVec
	retried  *prometheus.CounterVec
	calls    *prometheus.CounterVec
}

func newCounts(m *meter.Meter, c *sender.Sender) *counts {
	out := &counts{
		answered: m.NewCounter("entry_requests_total", "Requests by route and outcome.", "Route", "Outcome"),
		refused:  m.NewCounter("entry_refusals_total", "Refusals by kind and reason.", "Kind", "Reason"),
		retried:  m.NewCounter("entry_retries_total", "Further attempts by reason.", "Reason"),
		calls:    m.NewCounter("entry_store_calls_total", "Calls to the store by operation, way and result.", "Operation", "Way", "Result"),
		seconds:  m.NewHistogram("entry_request_seconds", "Time from arrival to the end of the answer.", "Route"),
		first:    m.FirstTokenSeconds,
	}
	m.NewGaugeFunc("entry_connections_opened", "Connections opened to endpoints.", func() float64 { return float64(c.ConnectionsOpened()) })
	return out
}

// Metrics returns the descriptions of an entry's metrics, in the form of
// prometheus.Desc.String.
func Metrics() []string {
	m := meter.New()
	newCounts(m, sender.New())
	return m.Describe()
}

// ObserveRequest implements relayer.Metrics.
func (c *counts) ObserveRequest(route *matcher.Route, outcome string, total time.Duration) {
	name := "None"
	if route != nil {
		name = route.Name
	}
	c.answered.WithLabelValues(name, outcome).Inc()
	c.seconds.WithLabelValues(name).Observe(total.Seconds())
}

// ObserveFirstEvent implements relayer.Metrics.
func (c *counts) ObserveFirstEvent(d time.Duration) { c.first.Observe(d.Seconds()) }

// CountRefusal implements relayer.Metrics.
func (c *counts) CountRefusal(kind answerer.Kind, reason string) {
	c.refused.WithLabelValues(string(kind), reason).Inc()
}

// CountRetry implements relayer.Metrics.
func (c *counts) CountRetry(reason string) { c.retried.WithLabelValues(reason).Inc() }

func (c *counts) store(operation, way, result string) {
	c.calls.WithLabelValues(operation, way, result).Inc()
}
