// Package matcher implements the routing table of an instance. It matches a
// request's host and path to a route, which says whether the request may be
// repeated and which services may serve it. A Table is immutable and safe for
// concurrent use.
package matcher

import (
	"sort"
	"strings"
	"time"
)

// Kind is the class of a route's requests with regard to repetition.
type Kind int

// The kinds of requests.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Stream requests are generations whose response is an event stream. They
	// run at most once unless the route is resumable.
	Stream
)

// WeightedService is a service of a route. Weight is its share of the requests
// relative to the other services of the route.
type WeightedService struct {
	Service string
	Weight  int
}

// Route describes the requests with a given host and path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds the time that a caller waits for the response; zero for no
	// bound.
	Timeout time.Duration
	// TargetLatency is the time within which a response counts as on time.
	TargetLatency time.Duration
	// Priority 0 is the highest.
	Priority int
	Services []WeightedService
	// MaxAttempts is the maximum number of endpoints that a request is sent to.
	MaxAttempts int
	// Retained is set if turns of the route are stored for Retention.
	Retained  bool
	Retention time.Duration
	// SessionAffinity is set if requests run faster at the endpoint that has
	// their prompt in its cache.
	SessionAffinity bool
	// Resumable is set if a stream can be continued at another endpoint after a
	// given event.
	Resumable bool
	// Public is set if requests without a known key are served.
	Public bool
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool { return r.Kind == Safe || (r.Kind == Stream && r.Resumable) }

// PickService returns the service for a request with the hash, in proportion to
// the weights, or "" if no service has a weight above zero.
func (r *Route) PickService(hash uint64) string {
	total := 0
	for _, s := range r.Services {
		total += max(s.Weight, 0)
	}
	if total == 0 {
		return ""
	}
	left := int(hash % uint64(total))
	for _, s := range r.Services {
		if left -= max(s.Weight, 0); left < 0 {
			return s.Service
		}
	}
	return ""
}

// Service describes a service.
type Service struct {
	Name string
	// MaxConnections is the number of connections that one endpoint accepts from
	// all callers together.
	MaxConnections int
	// TokensPerEvent is the number of tokens in one event of a stream; zero for a
	// service that does not stream.
	TokensPerEvent int
	// Slots is the number of requests that an engine runs concurrently; zero if
	// unknown.
	Slots int
	// CacheTokens is the number of tokens that the memory of one engine holds; zero if
	// unknown.
	CacheTokens int
}

// Limits bounds the requests of callers.
type Limits struct {
	MaxBodyBytes int64
}

// Table is a version of the routing table.
type Table struct {
	Version  int64
	Limits   Limits
	Services map[string]Service
	// hosts maps a host in lower case to its routes, the longest prefix first.
	hosts            map[string][]*Route
	longestRetention time.Duration
	accounts         *accountIndex
}

// New returns a Table of the routes. It has no accounts; see WithAccounts.
func New(version int64, limits Limits, services []Service, routes []Route) *Table {
	t := &Table{
		Version:  version,
		Limits:   limits,
		Services: make(map[string]Service, len(services)),
		hosts:    map[string][]*Route{},
	}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], &r)
		t.longestRetention = max(t.longestRetention, r.Retention)
	}
	for _, list := range t.hosts {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return t
}

// LongestRetention returns the longest Retention of all routes.
func (t *Table) LongestRetention() time.Duration { return t.longestRetention }

// Match returns the route of the host with the longest prefix of the path, or nil
// if there is none. A port in host is ignored.
func (t *Table) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
