// Package matcher owns the routing table of an instance: which route a request
// takes, what may be repeated on it, and which services may serve it. A Table
// never changes; a new version replaces it whole. The package does not own how
// a version reaches the instance.
package matcher

import (
	"sort"
	"strings"
	"time"
)

// Kind says what may be repeated on a route.
type Kind int

// The kinds of routes.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Stream requests are generations that are answered with events. They run
	// at most once unless the route is resumable.
	Stream
)

// WeightedService is one service of a route with its share of the requests.
type WeightedService struct {
	Service string
	Weight  int
}

// Route is one route.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time to keep a caller waiting; zero for none.
	Timeout time.Duration
	// TargetLatency is the time within which an answer is on time.
	TargetLatency time.Duration
	// Priority is the rank of the route; 0 is the highest.
	Priority int
	Services []WeightedService
	// MaxAttempts is the number of endpoints that one request may be sent to.
	MaxAttempts int
	// Retained routes keep their turns for Retention.
	Retained  bool
	Retention time.Duration
	// SessionAffinity routes gain from staying at the endpoint that has their prompt.
	SessionAffinity bool
	// Resumable streams may go on at another endpoint after a given event.
	Resumable bool
}

// Idempotent says whether a request of the route may run more than once.
func (r *Route) Idempotent() bool { return r.Kind == Safe || (r.Kind == Stream && r.Resumable) }

// PickService picks the backend for a request by its hash, in proportion to the weights.
func (r *Route) PickService(hash uint64) string {
	total := 0
	for _, b := range r.Services {
		total += max(b.Weight, 0)
	}
	if total == 0 {
		return ""
	}
	left := int(hash % uint64(total))
	for _, b := range r.Services {
		if left -= max(b.Weight, 0); left < 0 {
			return b.Service
		}
	}
	return ""
}

// Service describes one service.
type Service struct {
	Name string
	// MaxConnections is how many connections one endpoint takes from all callers.
	MaxConnections int
	// TokensPerEvent is how many tokens one event of a stream stands for; zero
	// for a plain service.
	TokensPerEvent int
	// Slots is how many requests an engine runs at once; zero if unknown.
	Slots int
}

// Limits bound what a caller may send.
type Limits struct {
	MaxBodyBytes int64
}

// Table is one version of the routing table.
type Table struct {
	Version  int64
	Limits   Limits
	Services map[string]Service
	hosts    map[string][]*Route
	// longestRetention is that of all routes.
	longestRetention time.Duration
}

// New returns a Table of the routes.
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

// LongestRetention returns the longest time for which a route keeps its turns.
func (t *Table) LongestRetention() time.Duration { return t.longestRetention }

// Match returns the route with the longest prefix of the path among those of
// the host, or nil.
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
