package composer

import (
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/matcher"
	"github.com/wigeonstand/wigeonstand/internal/meter"
	"github.com/wigeonstand/wigeonstand/internal/registrar"
	"github.com/wigeonstand/wigeonstand/internal/sender"
)

// metrics holds the metrics of an Entry.
type metrics struct {
	requests          *prometheus.CounterVec
	requestSeconds    *prometheus.HistogramVec
	firstEventSeconds prometheus.Histogram
	refusals          *prometheus.CounterVec
	retries           *prometheus.CounterVec
	storeCalls        *prometheus.CounterVec
	permits           *prometheus.CounterVec
	openedWithoutRow  *prometheus.CounterVec
	// rightsHeld and deductions are read by gauges.
	rightsHeld atomic.Int64
	deductions atomic.Int64
}

func newMetrics(m *meter.Meter, s *sender.Sender, endpoints *registrar.Registry) *metrics {
	out := &metrics{
		requests:          m.NewCounter("entry_requests_total", "Requests by route and outcome.", "Route", "Outcome"),
		refusals:          m.NewCounter("entry_refusals_total", "Refusals by kind and reason.", "Kind", "Reason"),
		retries:           m.NewCounter("entry_retries_total", "Further attempts by reason.", "Reason"),
		storeCalls:        m.NewCounter("entry_store_calls_total", "Calls to the store by operation, way and result.", "Operation", "Way", "Result"),
		permits:           m.NewCounter("entry_permits_total", "Permits asked for, of endpoints with a limit, by result.", "Result"),
		openedWithoutRow:  m.NewCounter("entry_programs_without_row_total", "Programs opened without a row while the store was away."),
		requestSeconds:    m.NewHistogram("entry_request_seconds", "Time from arrival to the end of the answer.", "Route"),
		firstEventSeconds: m.FirstTokenSeconds,
	}
	m.NewGaugeFunc("entry_connections_opened", "Connections opened to endpoints.", func() float64 { return float64(s.ConnectionsOpened()) })
	m.NewGaugeFunc("entry_rights_held", "Rights to open programs without a row that this instance holds.", func() float64 { return float64(out.rightsHeld.Load()) })
	m.NewGaugeFunc("entry_rights_deducting", "Rights held whose programs are not opened without a row, as those of a lost holder are unknown.", func() float64 { return float64(out.deductions.Load()) })
	m.NewGaugeFunc("entry_limited_endpoints", "Endpoints that state a limit of requests a second.", func() float64 { return float64(endpoints.LimitedCount()) })
	return out
}

// Metrics returns the descriptions of an entry's metrics, in the form of
// prometheus.Desc.String.
func Metrics() []string {
	m := meter.New()
	newMetrics(m, sender.New(), registrar.New())
	return m.Describe()
}

// ObserveRequest implements relayer.Metrics.
func (m *metrics) ObserveRequest(route *matcher.Route, outcome string, total time.Duration) {
	name := "None"
	if route != nil {
		name = route.Name
	}
	m.requests.WithLabelValues(name, outcome).Inc()
	m.requestSeconds.WithLabelValues(name).Observe(total.Seconds())
}

// ObserveFirstEvent implements relayer.Metrics.
func (m *metrics) ObserveFirstEvent(d time.Duration) { m.firstEventSeconds.Observe(d.Seconds()) }

// CountRefusal implements relayer.Metrics.
func (m *metrics) CountRefusal(kind answerer.Kind, reason string) {
	m.refusals.WithLabelValues(string(kind), reason).Inc()
}

// CountRetry implements relayer.Metrics.
func (m *metrics) CountRetry(reason string) { m.retries.WithLabelValues(reason).Inc() }

func (m *metrics) countPermit(result string) { m.permits.WithLabelValues(result).Inc() }

func (m *metrics) countStoreCall(operation, way, result string) {
	m.storeCalls.WithLabelValues(operation, way, result).Inc()
}
