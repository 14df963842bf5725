package composer

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/wigeonstand/wigeonstand/internal/admitter"
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
	programs          *prometheus.CounterVec
	accounts          *labelLimit
	pressure          prometheus.Gauge
}

func newMetrics(m *meter.Meter, s *sender.Sender, endpoints *registrar.Registry) *metrics {
	out := &metrics{
		requests:          m.NewCounter("entry_requests_total", "Requests by route and outcome.", "Route", "Outcome"),
		refusals:          m.NewCounter("entry_refusals_total", "Refusals by kind and reason.", "Kind", "Reason"),
		retries:           m.NewCounter("entry_retries_total", "Further attempts by reason.", "Reason"),
		storeCalls:        m.NewCounter("entry_store_calls_total", "Calls to the store by operation, way and result.", "Operation", "Way", "Result"),
		permits:           m.NewCounter("entry_permits_total", "Permits asked for, of endpoints with a limit, by result.", "Result"),
		programs:          m.NewCounter("entry_new_programs_total", "New programs by account, scarcest resource and result.", "Account", "Binding", "Result"),
		accounts:          newLabelLimit(maxAccountLabels),
		pressure:          m.NewGauge("entry_contention_pressure", "Pressure that the last new program met on its scarcest resource; all are refused at 1."),
		requestSeconds:    m.NewHistogram("entry_request_seconds", "Time from arrival to the end of the answer.", "Route"),
		firstEventSeconds: m.FirstTokenSeconds,
	}
	m.NewGaugeFunc("entry_connections_opened", "Connections opened to endpoints.", func() float64 { return float64(s.ConnectionsOpened()) })
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

// CountProgram implements relayer.Metrics.
func (m *metrics) CountProgram(account string, binding admitter.Resource, result string) {
	m.programs.WithLabelValues(m.accounts.label(account), string(binding), result).Inc()
}

// ObserveContention implements relayer.Metrics.
func (m *metrics) ObserveContention(c admitter.Contention) { m.pressure.Set(max(c.Pressure, 0)) }

// maxAccountLabels bounds the number of accounts with metrics of their own. The others are
// counted together.
const maxAccountLabels = 1000

// labelLimit bounds the number of values of a label.
type labelLimit struct {
	mu    sync.Mutex
	most  int
	known map[string]bool
}

func newLabelLimit(most int) *labelLimit { return &labelLimit{most: most, known: map[string]bool{}} }

// label returns the value, or "Others" if there are too many values.
func (l *labelLimit) label(value string) string {
	if value == "" {
		return "None"
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.known[value] && len(l.known) >= l.most {
		return "Others"
	}
	l.known[value] = true
	return value
}

func (m *metrics) countPermit(result string) { m.permits.WithLabelValues(result).Inc() }

func (m *metrics) countStoreCall(operation, way, result string) {
	m.storeCalls.WithLabelValues(operation, way, result).Inc()
}
