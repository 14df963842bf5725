// Package meter defines the Prometheus metrics of a process and the registry that
// serves them. The packages that hold a Meter update its metrics.
package meter

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const namespace = "wigeonstand"

// Meter holds the metrics of one process. It is safe for concurrent use.
type Meter struct {
	registry *prometheus.Registry
	// Refusals counts error responses, by Kind and Ran.
	Refusals *prometheus.CounterVec
	// Retries counts repeated attempts, by Reason and Target (Engine, Service, Peer, Store).
	Retries *prometheus.CounterVec
	// Requests counts requests that were answered, by Operation.
	Requests *prometheus.CounterVec
	// StoreRequests counts requests to the platform's store, by Operation and Result.
	StoreRequests *prometheus.CounterVec
	// Tokens counts tokens, by Use (Prompt, Cached, Generated, Recomputed).
	Tokens *prometheus.CounterVec
	// TurnSeconds is the time from the arrival of a turn to its complete answer, by Business.
	TurnSeconds *prometheus.HistogramVec
	// FirstTokenSeconds is the time from the arrival of a turn to its first token.
	FirstTokenSeconds prometheus.Histogram
	// Programs is the number of programs owned by this instance.
	Programs prometheus.Gauge
	// Shards is the number of shards owned by this instance.
	Shards prometheus.Gauge
	// Queued is the number of turns that wait for an endpoint.
	Queued prometheus.Gauge
	// Attempts is the number of generations in flight.
	Attempts prometheus.Gauge
	// Calls is the number of calls to services in flight.
	Calls prometheus.Gauge
	// BacklogBytes is the size of the records that are not durable yet.
	BacklogBytes prometheus.Gauge
	// DocumentVersion is the document version in force on this instance.
	DocumentVersion prometheus.Gauge
}

// New returns a Meter with its own registry.
func New() *Meter {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m := &Meter{registry: registry}
	m.Refusals = m.NewCounter("refusals_total", "Answers with an error.", "Kind", "Ran")
	m.Retries = m.NewCounter("retries_total", "Repeated attempts.", "Reason", "Target")
	m.Requests = m.NewCounter("requests_total", "Answered requests.", "Operation")
	m.StoreRequests = m.NewCounter("store_requests_total", "Requests to the platform's store.", "Operation", "Result")
	m.Tokens = m.NewCounter("tokens_total", "Tokens by use.", "Use")
	m.TurnSeconds = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: "turn_seconds", Help: "Arrival of a turn to its complete answer.",
		Buckets: prometheus.ExponentialBuckets(0.005, 2, 15),
	}, []string{"Business"})
	m.FirstTokenSeconds = prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace, Name: "first_token_seconds", Help: "Arrival of a turn to its first token.",
		Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
	})
	registry.MustRegister(m.TurnSeconds, m.FirstTokenSeconds)
	m.Programs = m.NewGauge("programs", "Programs owned by this instance.")
	m.Shards = m.NewGauge("shards", "Shards owned by this instance.")
	m.Queued = m.NewGauge("queued", "Turns that wait for an endpoint.")
	m.Attempts = m.NewGauge("attempts", "Generations in flight.")
	m.Calls = m.NewGauge("calls", "Calls to services in flight.")
	m.BacklogBytes = m.NewGauge("backlog_bytes", "Bytes of records that wait to become durable.")
	m.DocumentVersion = m.NewGauge("document_version", "Document version in force.")
	return m
}

// NewCounter registers and returns a counter with the labels.
func (m *Meter) NewCounter(name, help string, labels ...string) *prometheus.CounterVec {
	counter := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	m.registry.MustRegister(counter)
	return counter
}

// NewGauge registers and returns a gauge without labels.
func (m *Meter) NewGauge(name, help string) prometheus.Gauge {
	gauge := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
	m.registry.MustRegister(gauge)
	return gauge
}

// NewGaugeFunc registers a gauge whose value function is called at each scrape.
func (m *Meter) NewGaugeFunc(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, value))
}

// NewHistogram registers and returns a histogram in seconds with the labels. Its
// first bucket ends at 5 ms.
func (m *Meter) NewHistogram(name, help string, labels ...string) *prometheus.HistogramVec {
	histogram := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help, Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
	}, labels)
	m.registry.MustRegister(histogram)
	return histogram
}

// Handler serves the metrics for scraping.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Registry returns the registry. Tests gather metrics from it.
func (m *Meter) Registry() *prometheus.Registry { return m.registry }

// Describe returns the descriptions of all metrics of this process, in the form
// of prometheus.Desc.String.
func (m *Meter) Describe() []string {
	descriptions := make(chan *prometheus.Desc)
	go func() {
		defer close(descriptions)
		m.registry.Describe(descriptions)
	}()
	var texts []string
	for d := range descriptions {
		texts = append(texts, d.String())
	}
	return texts
}
