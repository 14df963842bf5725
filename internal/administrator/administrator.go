// Package administrator owns the operators' HTTP API: who may do what, and how
// requests and answers are written. It does not own what they act on, which it
// reaches through the interfaces declared here, nor the listener.
package administrator

import (
	"context"
	"net/http"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/logger"
	"github.com/wigeonstand/wigeonstand/internal/meter"
	"github.com/wigeonstand/wigeonstand/internal/publisher"
	"github.com/wigeonstand/wigeonstand/internal/requester"
)

const (
	defaultBodyBytes = 4 << 20
	defaultTimeout   = 30 * time.Second
)

// Publisher changes and reads the document.
type Publisher interface {
	Edit(ctx context.Context, edit publisher.Edit) (publisher.Result, error)
	Apply(ctx context.Context, apply publisher.Apply) (publisher.Result, error)
	Rollback(ctx context.Context, rollback publisher.Rollback) (publisher.Result, error)
	Head(ctx context.Context) (*publisher.Manifest, error)
	Show(ctx context.Context, number int64) (*publisher.Manifest, compiler.Document, error)
	History(ctx context.Context, before int64, limit int) ([]publisher.Manifest, error)
	Diff(ctx context.Context, from, to int64) (string, error)
}

// Follower knows the version in force on this instance.
type Follower interface {
	Current() *compiler.Version
	// Started is false while the document is not known yet.
	Started() bool
}

// Fleet reaches the instances, this one included.
type Fleet interface {
	Instances(ctx context.Context) ([]Instance, error)
	// Do carries a command to one instance, whoever owns what it names.
	Do(ctx context.Context, instance string, command requester.Command) (requester.Reply, error)
	// Drain begins a planned stop of the instance and does not wait for its end.
	Drain(ctx context.Context, instance string) error
}

// EndpointLister knows the endpoints.
type EndpointLister interface {
	Endpoints(ctx context.Context) ([]Endpoint, error)
}

// Administrator serves the API.
type Administrator struct {
	publisher Publisher
	follower  Follower
	doer      requester.Doer
	fleet     Fleet
	endpoints EndpointLister
	bootstrap string
	bodyBytes int64
	timeout   time.Duration
	log       *logger.Logger
	meter     *meter.Meter
	mux       *http.ServeMux
}

// Option sets one property of an Administrator.
type Option func(*Administrator)

// WithDoer names the way to the owners of programs and calls.
func WithDoer(doer requester.Doer) Option {
	return func(a *Administrator) { a.doer = doer }
}

// WithFleet names the way to the instances.
func WithFleet(fleet Fleet) Option {
	return func(a *Administrator) { a.fleet = fleet }
}

// WithEndpointLister names what knows the endpoints.
func WithEndpointLister(endpoints EndpointLister) Option {
	return func(a *Administrator) { a.endpoints = endpoints }
}

// WithBootstrapKeyHash sets the hash of the key that may do everything while the
// newest document has no operators.
func WithBootstrapKeyHash(hash string) Option {
	return func(a *Administrator) { a.bootstrap = hash }
}

// WithMaxBodyBytes bounds the size of requests.
func WithMaxBodyBytes(limit int) Option {
	return func(a *Administrator) { a.bodyBytes = int64(limit) }
}

// WithTimeout bounds the time of one request.
func WithTimeout(timeout time.Duration) Option {
	return func(a *Administrator) { a.timeout = timeout }
}

// WithLogger sets where events are logged.
func WithLogger(log *logger.Logger) Option {
	return func(a *Administrator) { a.log = log }
}

// WithMeter sets where requests and refusals are counted.
func WithMeter(m *meter.Meter) Option {
	return func(a *Administrator) { a.meter = m }
}

// New returns an Administrator. Requests that need something that no option
// names are refused.
func New(p Publisher, f Follower, options ...Option) *Administrator {
	a := &Administrator{
		publisher: p,
		follower:  f,
		doer:      absent{},
		fleet:     absentFleet{},
		endpoints: absent{},
		bodyBytes: defaultBodyBytes,
		timeout:   defaultTimeout,
		log:       logger.Discard(),
		meter:     meter.New(),
		mux:       http.NewServeMux(),
	}
	for _, option := range options {
		option(a)
	}
	a.routeDocument()
	a.routeFleet()
	a.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		a.refuse(w, r, ulid.Make().String(), answerer.New(answerer.NotFound, "there is no %s %s", r.Method, r.URL.Path))
	})
	return a
}

// ServeHTTP implements http.Handler.
func (a *Administrator) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.mux.ServeHTTP(w, r) }

// call is one request of an operator who may make it.
type call struct {
	*http.Request
	id       string
	operator *compiler.Operator
}

// route serves the pattern. The right is asked for before the handler is
// called; an empty one is held by every operator.
func (a *Administrator) route(pattern, operation, right string, handle func(c call) (any, error)) {
	a.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), a.timeout)
		defer cancel()
		r = r.WithContext(ctx)
		r.Body = http.MaxBytesReader(w, r.Body, a.bodyBytes)
		c := call{Request: r, id: ulid.Make().String()}
		answer, err := a.perform(c, right, handle)
		if err != nil {
			a.refuse(w, r, c.id, err)
			return
		}
		a.meter.Requests.WithLabelValues(operation).Inc()
		writeJSON(w, http.StatusOK, answer)
	})
}

func (a *Administrator) perform(c call, right string, handle func(c call) (any, error)) (any, error) {
	operator, err := a.authenticate(c.Request)
	if err != nil {
		return nil, err
	}
	if right != "" && !operator.HasRight(right) {
		return nil, answerer.New(answerer.Forbidden, "operator %s does not hold the right %s", operator.Name, right)
	}
	c.operator = operator
	return handle(c)
}

// absent stands in for what no option names.
type absent struct{}

var errAbsent = answerer.New(answerer.NotFound, "this instance does not serve that")

func (absent) Do(context.Context, requester.Command, requester.Sink) (requester.Reply, error) {
	return requester.Reply{}, errAbsent
}

// absentFleet stands in for a way to the instances.
type absentFleet struct{}

func (absentFleet) Instances(context.Context) ([]Instance, error) { return nil, errAbsent }

func (absentFleet) Drain(context.Context, string) error { return errAbsent }

func (absentFleet) Do(context.Context, string, requester.Command) (requester.Reply, error) {
	return requester.Reply{}, errAbsent
}

func (absent) Endpoints(context.Context) ([]Endpoint, error) { return nil, errAbsent }
