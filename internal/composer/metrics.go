package composer

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/wigeonstand/wigeonstand/internal/admitter"
	"github.com/wigeonstand/wigeonstand/internal/allotter"
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
	quotaRequests     *prometheus.CounterVec
	placements        *prometheus.CounterVec
	expectedWait      *prometheus.HistogramVec
	loadFaults        *prometheus.CounterVec
	programs          *prometheus.CounterVec
	accounts          *labelLimit
	pressure          prometheus.Gauge
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
		quotaRequests:     m.NewCounter("entry_quota_requests_total", "Permits asked for, of accounts with a quota, by result.", "Result"),
		programs:          m.NewCounter("entry_new_programs_total", "New programs by account, scarcest resource and result.", "Account", "Binding", "Result"),
		accounts:          newLabelLimit(maxAccountLabels),
		pressure:          m.NewGauge("entry_contention_pressure", "Pressure that the last new program met on its scarcest resource; all are refused at 1."),
		openedWithoutRow:  m.NewCounter("entry_programs_without_row_total", "Programs opened without a row while the store was away."),
		requestSeconds:    m.NewHistogram("entry_request_seconds", "Time from arrival to the end of the answer.", "Route"),
		firstEventSeconds: m.FirstTokenSeconds,
		placements:        m.NewCounter("entry_placements_total", "Requests placed by expected end, by way: at home, at an endpoint that invites, drawn, or else as by TwoByHash.", "Way"),
		loadFaults:        m.NewCounter("entry_load_faults_total", "Responses whose stated load was not used in full, by fault.", "Fault"),
		expectedWait:      m.NewHistogram("entry_expected_wait_seconds", "Expected wait at the endpoint that was selected by expected end."),
	}
	m.NewGaugeFunc("entry_connections_opened", "Connections opened to endpoints.", func() float64 { return float64(s.ConnectionsOpened()) })
	m.NewGaugeFunc("entry_rights_held", "Rights to open programs without a row that this instance holds.", func() float64 { return float64(out.rightsHeld.Load()) })
	m.NewGaugeFunc("entry_rights_deducting", "Rights held whose programs are not opened without a row, as those of a lost holder are unknown.", func() float64 { return float64(out.deductions.Load()) })
	m.NewGaugeFunc("entry_limited_endpoints", "Endpoints that state a limit of requests a second.", func() float64 { return float64(endpoints.LimitedCount()) })
	m.NewGaugeFunc("entry_learned_endpoints", "Endpoints of whose speeds more is known than not.", func() float64 { n, _ := endpoints.LearnedCount(); return float64(n) })
	m.NewGaugeFunc("entry_slowest_endpoint", "Time that the slowest of these endpoints needs, in multiples of the usual time.", func() float64 { _, slowest := endpoints.LearnedCount(); return slowest })
	return out
}

// Metrics returns the descriptions of an entry's metrics, in the form of
// prometheus.Desc.String.
func Metrics() []string {
	m := meter.New()
	newMetrics(m, sender.New(), registrar.New())
	observeQuotas(m, nil)
	observeConfiguration(m, nil)
	observeConnections(m, connectionBudgets{})
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

// CountPlacement implements relayer.Metrics.
func (m *metrics) CountPlacement(way string) { m.placements.WithLabelValues(way).Inc() }

// CountLoadFault implements relayer.Metrics.
func (m *metrics) CountLoadFault(fault string) { m.loadFaults.WithLabelValues(fault).Inc() }

// ObserveExpectedWait implements relayer.Metrics.
func (m *metrics) ObserveExpectedWait(d time.Duration) {
	m.expectedWait.WithLabelValues().Observe(d.Seconds())
}

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

func (m *metrics) countQuotaRequest(result allotter.Result) {
	m.quotaRequests.WithLabelValues(string(result)).Inc()
}

// configuration states what is known of the configuration in force.
type configuration interface {
	ConfirmedAt() time.Time
	ConfigurationBytes() int64
}

// observeConfiguration adds the metrics of the configuration, which may be nil if they are only
// described.
func observeConfiguration(m *meter.Meter, c configuration) {
	m.NewGaugeFunc("entry_configuration_age_seconds", "Time since the configuration in force was known to be the newest one; grows while reads of it fail.", func() float64 { return time.Since(c.ConfirmedAt()).Seconds() })
	m.NewGaugeFunc("entry_configuration_bytes", "Size of the configuration in force.", func() float64 { return float64(c.ConfigurationBytes()) })
}

// observeQuotas adds the metrics of the permits that this instance issues; usage may be nil.
func observeQuotas(m *meter.Meter, usage func() allotter.Usage) {
	add := func(name, help string, value func(allotter.Usage) float64) {
		m.NewGaugeFunc(name, help, func() float64 {
			if usage == nil {
				return 0
			}
			return value(usage())
		})
	}
	add("entry_quota_accounts", "Accounts with a quota for which this instance issues permits.", func(u allotter.Usage) float64 { return float64(u.Accounts) })
	add("entry_quota_used", "Permits that this instance issued in the current window.", func(u allotter.Usage) float64 { return u.Used })
	add("entry_quota_part", "Permits that this instance may issue in a window.", func(u allotter.Usage) float64 { return u.Most })
	add("entry_quota_highest", "The highest part of its permits in the current window that an account has used.", func(u allotter.Usage) float64 { return u.Highest })
}

func (m *metrics) countStoreCall(operation, way, result string) {
	m.storeCalls.WithLabelValues(operation, way, result).Inc()
}
