// Package administrator serves the operators' HTTP API for the document, instances,
// endpoints, programs and outcomes. It authenticates the operator by a bearer key,
// checks the operator's rights and calls the interfaces declared here. An
// Administrator is an http.Handler and safe for concurrent use; errors get the
// status and body of their answerer kind.
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

// Publisher reads and changes the document.
type Publisher interface {
	Edit(ctx context.Context, edit publisher.Edit) (publisher.Result, error)
	Apply(ctx context.Context, apply publisher.Apply) (publisher.Result, error)
	Rollback(ctx context.Context, rollback publisher.Rollback) (publisher.Result, error)
	Head(ctx context.Context) (*publisher.Manifest, error)
	// Show returns a version with its texts; number zero selects the newest one.
	Show(ctx context.Context, number int64) (*publisher.Manifest, compiler.Document, error)
	History(ctx context.Context, before int64, limit int) ([]publisher.Manifest, error)
	Diff(ctx context.Context, from, to int64) (string, error)
}

// Follower provides the document version in force on this instance.
type Follower interface {
	Current() *compiler.Version
	// Started reports whether a version has been loaded.
	Started() bool
}

// Fleet lists the instances, including this one, and sends commands to them.
type Fleet interface {
	Instances(ctx context.Context) ([]Instance, error)
	// Do runs a command on the named instance, without forwarding it to an owner.
	Do(ctx context.Context, instance string, command requester.Command) (requester.Reply, error)
	// Drain starts a planned stop of the instance and does not wait for it to end.
	Drain(ctx context.Context, instance string) error
}

// EndpointLister lists the endpoints with their health and load.
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

// WithDoer sets the Doer that sends commands to the owners of programs and calls.
func WithDoer(doer requester.Doer) Option {
	return func(a *Administrator) { a.doer = doer }
}

// WithFleet sets the Fleet.
func WithFleet(fleet Fleet) Option {
	return func(a *Administrator) { a.fleet = fleet }
}

// WithEndpointLister sets the source of the list of endpoints.
func WithEndpointLister(endpoints EndpointLister) Option {
	return func(a *Administrator) { a.endpoints = endpoints }
}

// WithBootstrapKeyHash sets the hash of the key that has all rights while the
// newest document has no operators.
func WithBootstrapKeyHash(hash string) Option {
	return func(a *Administrator) { a.bootstrap = hash }
}

// WithMaxBodyBytes limits the size of a request body; the default is 4 MiB.
func WithMaxBodyBytes(limit int) Option {
	return func(a *Administrator) { a.bodyBytes = int64(limit) }
}

// WithTimeout limits the duration of one request; the default is 30 s.
func WithTimeout(timeout time.Duration) Option {
	return func(a *Administrator) { a.timeout = timeout }
}

// WithLogger sets the logger of events.
func WithLogger(log *logger.Logger) Option {
	return func(a *Administrator) { a.log = log }
}

// WithMeter sets the metrics that count requests and refusals.
func WithMeter(m *meter.Meter) Option {
	return func(a *Administrator) { a.meter = m }
}

// New returns an Administrator. Requests that need a Doer, Fleet or EndpointLister
// are refused as NotFound if no option sets it.
func New(p Publisher, f Follower, options ...Option) *Administrator {
	a := &Administrator{
		publisher: p,
		follower:  f,
		doer:      unconfigured{},
		fleet:     unconfiguredFleet{},
		endpoints: unconfigured{},
		bodyBytes: defaultBodyBytes,
		timeout:   defaultTimeout,
		log:       logger.Discard(),
		meter:     meter.New(),
		mux:       http.NewServeMux(),
	}
	for _, option := range options {
		option(a)
	}
	a.registerDocumentRoutes()
	a.registerFleetRoutes()
	a.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		a.refuse(w, r, ulid.Make().String(), answerer.New(answerer.NotFound, "no route for %s %s", r.Method, r.URL.Path))
	})
	return a
}

// ServeHTTP implements http.Handler.
func (a *Administrator) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.mux.ServeHTTP(w, r) }

// call is a request with its id and, once authorized, its operator.
type call struct {
	*http.Request
	id       string
	operator *compiler.Operator
}

// route registers the handler for the pattern. Only operators with the right may
// call it; an empty right admits every operator.
func (a *Administrator) route(pattern, operation, right string, handle func(c call) (any, error)) {
	a.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), a.timeout)
		defer cancel()
		r = r.WithContext(ctx)
		r.Body = http.MaxBytesReader(w, r.Body, a.bodyBytes)
		c := call{Request: r, id: ulid.Make().String()}
		answer, err := a.handleAuthorized(c, right, handle)
		if err != nil {
			a.refuse(w, r, c.id, err)
			return
		}
		a.meter.Requests.WithLabelValues(operation).Inc()
		writeJSON(w, http.StatusOK, answer)
	})
}

// handleAuthorized calls the handler if the request's operator has the right.
func (a *Administrator) handleAuthorized(c call, right string, handle func(c call) (any, error)) (any, error) {
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

// unconfigured is the default Doer and EndpointLister; it refuses all requests.
type unconfigured struct{}

var errNotServed = answerer.New(answerer.NotFound, "this instance does not serve this request")

func (unconfigured) Do(context.Context, requester.Command, requester.Sink) (requester.Reply, error) {
	return requester.Reply{}, errNotServed
}

// unconfiguredFleet is the default Fleet; it refuses all requests.
type unconfiguredFleet struct{}

func (unconfiguredFleet) Instances(context.Context) ([]Instance, error) { return nil, errNotServed }

func (unconfiguredFleet) Drain(context.Context, string) error { return errNotServed }

func (unconfiguredFleet) Do(context.Context, string, requester.Command) (requester.Reply, error) {
	return requester.Reply{}, errNotServed
}

func (unconfigured) Endpoints(context.Context) ([]Endpoint, error) { return nil, errNotServed }
