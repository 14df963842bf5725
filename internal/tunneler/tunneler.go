// Package tunneler opens connections to endpoints, through another instance if this one does
// not reach the endpoint itself. A tunnel carries the bytes of one connection over a stream
// between the two instances; what is sent, and whether it may be sent again, is the same as
// on a direct connection.
package tunneler

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/discoverer"
	"github.com/wigeonstand/wigeonstand/internal/logger"
	"github.com/wigeonstand/wigeonstand/internal/messenger"
	"github.com/wigeonstand/wigeonstand/internal/registrar"
	"github.com/wigeonstand/wigeonstand/internal/sender"
)

const (
	// directDelay is how long a direct connection may take before a tunnel is opened, too.
	// Endpoints accept connections within a few milliseconds.
	directDelay = 100 * time.Millisecond
	// relayDelay is how long one instance may take before the next one is asked, too.
	relayDelay = 60 * time.Millisecond
	// openTimeout limits the opening of a connection by all means together.
	openTimeout = time.Second
	// maxRelays is the number of instances that are asked for one connection, and
	// maxRefusals the number of those after whose refusals the endpoint counts as refusing
	// all: a relay may be cut off from it itself.
	maxRelays   = 6
	maxRefusals = 3
	// probeInterval is the time between two attempts to reach an endpoint directly while
	// tunnels lead to it.
	probeInterval = time.Second
	// relayFailureMemory is how long an instance that could not connect is asked last, and
	// relaySuccessMemory how long one that could is asked first.
	relayFailureMemory = 3 * time.Second
	relaySuccessMemory = 5 * time.Second
	// pathMemory is how long an endpoint counts as reached only through others after the
	// last failure of a direct connection.
	pathMemory = 10 * time.Second
)

var (
	eventTunneled = logger.Define(5110, "EndpointTunneled", log.WarnLevel,
		"an endpoint does not accept connections of this instance, but those of another one; requests go through others",
		"Check the network between this instance and the endpoint.")
	eventDirect = logger.Define(5111, "EndpointReachedAgain", log.InfoLevel,
		"an endpoint accepts connections of this instance again", "None.")
)

// ErrNoPath means that neither this instance nor those that it asked reach the endpoint.
var ErrNoPath = errors.New("no path to the endpoint")

// errNoRelay means that this instance knows no other one.
var errNoRelay = errors.New("no other instance is known")

// errNoAnswer means that no other instance has answered in time.
var errNoAnswer = errors.New("no other instance has answered")

// Members lists the other instances.
type Members interface {
	// Relays returns other instances, in an order that differs between instances.
	Relays() []discoverer.Member
	Self() discoverer.Member
}

// Opener opens streams to other instances.
type Opener interface {
	Open(ctx context.Context, address netip.AddrPort, method string, first any) (*messenger.Stream, error)
}

// Registry knows the endpoints.
type Registry interface {
	FindAddress(address netip.AddrPort) (registrar.Endpoint, bool)
}

// path is what is known of the connections to an endpoint.
type path struct {
	// blockedUntil is the time until which the endpoint counts as reached only through
	// others.
	blockedUntil time.Time
	// probedAt is when the last direct connection was begun while it counted so, and
	// openedAt when the last one was opened.
	probedAt time.Time
	openedAt time.Time
}

// relay is what is known of another instance as a relay.
type relay struct {
	dataCentre string
	succeeded  time.Time
	failed     time.Time
}

// Tunneler opens connections to endpoints and serves those of other instances. It is safe
// for concurrent use.
type Tunneler struct {
	direct   sender.Dial
	opener   Opener
	members  Members
	registry Registry
	log      *logger.Logger
	// withTimeout returns the context in which a connection is opened.
	withTimeout Timeouts
	// onSilent is called when an endpoint did not answer a direct connection.
	onSilent func(address netip.AddrPort)

	mu     sync.Mutex
	paths  map[netip.AddrPort]*path
	relays map[string]*relay

	// tunnels counts those that this instance serves. None begins once isStopping is set.
	tunnels    sync.WaitGroup
	isStopping bool
}

// Timeouts returns a context that ends after the timeout.
type Timeouts func(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc)

// Option sets one property of a Tunneler.
type Option func(*Tunneler)

// WithLogger sets the logger of events.
func WithLogger(l *logger.Logger) Option { return func(t *Tunneler) { t.log = l } }

// WithSilenceObserver sets a function that is called when an endpoint did not answer a direct
// connection, so that the idle ones to it are probably dead, too.
func WithSilenceObserver(observe func(address netip.AddrPort)) Option {
	return func(t *Tunneler) { t.onSilent = observe }
}

// WithTimeouts sets the source of the timeouts of connections, context.WithTimeout by default.
func WithTimeouts(tt Timeouts) Option { return func(t *Tunneler) { t.withTimeout = tt } }

// New returns a Tunneler that opens direct connections with the function.
func New(direct sender.Dial, opener Opener, members Members, registry Registry, options ...Option) *Tunneler {
	t := &Tunneler{
		direct: direct, opener: opener, members: members, registry: registry, log: logger.Discard(), withTimeout: context.WithTimeout,
		onSilent: func(netip.AddrPort) {}, paths: map[netip.AddrPort]*path{}, relays: map[string]*relay{},
	}
	for _, option := range options {
		option(t)
	}
	return t
}

// attempt is the result of one way to open a connection.
type attempt struct {
	conn     net.Conn
	err      error
	isDirect bool
}

// Dial implements sender.Dial. It opens a direct connection, and a tunnel if that fails or
// takes long. While the endpoint is known to be reached only through others, the tunnel is
// opened at once.
func (t *Tunneler) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	endpoint, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, eris.Wrapf(err, "address %s", address)
	}
	ctx, cancel := t.withTimeout(ctx, openTimeout)
	defer cancel()
	start := time.Now()
	isBlocked, mayProbe := t.begin(endpoint)
	attempts := make(chan attempt, 2)
	running := 0
	hasDirect := false
	openDirect := func() {
		hasDirect = true
		running++
		go t.dialDirect(context.WithoutCancel(ctx), network, endpoint, attempts)
	}
	if !isBlocked || mayProbe {
		openDirect()
	}
	direct, stop := t.withTimeout(ctx, directDelay)
	defer stop()
	tunnelAt := direct.Done()
	hasTunnel := false
	openTunnel := func() {
		hasTunnel = true
		running++
		go func() {
			conn, err := t.openTunnel(ctx, endpoint, start)
			attempts <- attempt{conn: conn, err: err}
		}()
	}
	if isBlocked {
		openTunnel()
	}
	var failure error
	for running > 0 {
		select {
		case a := <-attempts:
			running--
			if a.err == nil {
				go discardLate(attempts, running)
				return a.conn, nil
			}
			if a.isDirect || failure == nil {
				failure = a.err
			}
			if !hasTunnel {
				openTunnel()
			} else if !hasDirect {
				// No other instance reaches the endpoint. If this one does, it takes no longer.
				last, stop := t.withTimeout(ctx, directDelay)
				defer stop()
				ctx = last
				openDirect()
			}
		case <-tunnelAt:
			tunnelAt = nil
			if !hasTunnel {
				openTunnel()
			}
		case <-ctx.Done():
			go discardLate(attempts, running)
			return nil, errors.Join(ErrNoPath, failure, context.Cause(ctx))
		}
	}
	return nil, errors.Join(ErrNoPath, failure)
}

// discardLate closes the connections that are opened after another one.
func discardLate(attempts <-chan attempt, running int) {
	for range running {
		if a := <-attempts; a.conn != nil {
			_ = a.conn.Close() // It was never used.
		}
	}
}

// IsRefusing reports whether the address refuses connections of other instances and doesn't
// accept those of this one, as after the process there has ended. It is false if that is not
// known.
func (t *Tunneler) IsRefusing(ctx context.Context, address netip.AddrPort) bool {
	conn, directErr := t.direct(ctx, "tcp", address.String())
	if directErr == nil {
		_ = conn.Close() // It was never used.
		return false
	}
	conn, err := t.openTunnel(ctx, address, time.Now())
	if err == nil {
		_ = conn.Close() // It was never used.
	}
	isRefused := errors.Is(directErr, syscall.ECONNREFUSED)
	var some *someRefused
	if errors.As(err, &some) {
		return some.isEnd(isRefused)
	}
	isAlone := errors.Is(err, errNoRelay) && isRefused
	return isAlone || errors.Is(err, syscall.ECONNREFUSED)
}

// begin reports whether the endpoint is reached only through others, and whether a direct
// connection is to be tried nevertheless.
func (t *Tunneler) begin(endpoint netip.AddrPort) (isBlocked, mayProbe bool) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[endpoint]
	if p == nil || now.After(p.blockedUntil) {
		return false, true
	}
	if mayProbe = now.Sub(p.probedAt) >= probeInterval; mayProbe {
		p.probedAt = now
	}
	return true, mayProbe
}

// isBlocked reports whether the endpoint is reached only through others.
func (t *Tunneler) isBlocked(endpoint netip.AddrPort) bool {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[endpoint]
	return p != nil && !now.After(p.blockedUntil)
}

// dialDirect opens a direct connection. Its result counts also if a tunnel was faster.
func (t *Tunneler) dialDirect(ctx context.Context, network string, endpoint netip.AddrPort, attempts chan<- attempt) {
	start := time.Now()
	conn, err := t.direct(ctx, network, endpoint.String())
	t.mu.Lock()
	p := t.lockedPath(endpoint)
	wasBlocked := start.Before(p.blockedUntil)
	switch {
	case err == nil:
		p.openedAt, p.blockedUntil = time.Now(), time.Time{}
	case wasBlocked:
		p.blockedUntil = time.Now().Add(pathMemory)
	}
	t.mu.Unlock()
	switch {
	case err == nil && wasBlocked:
		t.log.Log(eventDirect, "Address", endpoint)
	case err != nil && !errors.Is(err, syscall.ECONNREFUSED):
		t.onSilent(endpoint)
	}
	attempts <- attempt{conn: conn, err: err, isDirect: true}
}

// lockedPath returns what is known of the connections to the endpoint. It forgets endpoints
// to which there were none lately.
func (t *Tunneler) lockedPath(endpoint netip.AddrPort) *path {
	p := t.paths[endpoint]
	if p == nil {
		now := time.Now()
		for address, old := range t.paths {
			if now.After(old.blockedUntil) && now.Sub(old.openedAt) > pathMemory {
				delete(t.paths, address)
			}
		}
		p = &path{}
		t.paths[endpoint] = p
	}
	return p
}

// recordTunnel records that an endpoint was reached through another instance, unless a direct
// connection was opened at the start or since.
func (t *Tunneler) recordTunnel(endpoint netip.AddrPort, m discoverer.Member, start time.Time) {
	now := time.Now()
	t.mu.Lock()
	p := t.lockedPath(endpoint)
	isNew := now.After(p.blockedUntil)
	if !p.openedAt.Before(start) {
		t.mu.Unlock()
		return
	}
	if isNew {
		p.probedAt = now
	}
	p.blockedUntil = now.Add(pathMemory)
	t.mu.Unlock()
	if isNew {
		t.log.Log(eventTunneled, "Address", endpoint, "Through", m.Instance)
	}
}

// IsDetour reports whether requests to the endpoint would cross the path between two data
// centres twice: it is in this instance's own, but neither this instance nor another one
// there is known to reach it.
func (t *Tunneler) IsDetour(endpoint registrar.Endpoint) bool {
	own := t.members.Self().DataCentre
	if endpoint.DataCentre != own {
		return false
	}
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.paths[endpoint.Address]; p == nil || now.After(p.blockedUntil) {
		return false
	}
	for _, r := range t.relays {
		if r.dataCentre == own && r.succeeded.After(r.failed) && now.Sub(r.succeeded) <= relaySuccessMemory {
			return false
		}
	}
	return true
}

// rank returns the instances that may relay to the endpoint, the best first: those in its own
// data centre or in this instance's before others, and those that connected lately before
// those that failed.
func (t *Tunneler) rank(endpoint netip.AddrPort) []discoverer.Member {
	e, _ := t.registry.FindAddress(endpoint)
	own := t.members.Self().DataCentre
	now := time.Now()
	members := t.members.Relays()
	t.mu.Lock()
	defer t.mu.Unlock()
	cost := func(m discoverer.Member) int {
		cost := 2
		if r := t.relays[m.Instance]; r != nil {
			switch {
			case r.succeeded.After(r.failed) && now.Sub(r.succeeded) <= relaySuccessMemory:
				cost = 0
			case now.Sub(r.failed) <= relayFailureMemory:
				cost = 6
			}
		}
		if m.DataCentre != own && m.DataCentre != e.DataCentre {
			cost += 3
		}
		return cost
	}
	// The order among equals is that of Relays, which differs between instances.
	slices.SortStableFunc(members, func(a, b discoverer.Member) int { return cost(a) - cost(b) })
	return members[:min(len(members), maxRelays)]
}

func (t *Tunneler) recordRelay(m discoverer.Member, err error) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.relays[m.Instance]
	if r == nil {
		for name, old := range t.relays {
			if now.Sub(old.succeeded) > relaySuccessMemory && now.Sub(old.failed) > relayFailureMemory {
				delete(t.relays, name)
			}
		}
		r = &relay{dataCentre: m.DataCentre}
		t.relays[m.Instance] = r
	}
	if err == nil {
		r.succeeded = now
	} else {
		r.failed = now
	}
}

// openTunnel opens a connection to the endpoint through the first of several instances that
// has one. It returns syscall.ECONNREFUSED if the endpoint refuses maxRefusals of them, or
// all, and someRefused if it refuses fewer. The start is that of all ways to open the connection,
// since a direct one may be open before this one begins.
func (t *Tunneler) openTunnel(ctx context.Context, endpoint netip.AddrPort, start time.Time) (net.Conn, error) {
	type result struct {
		member discoverer.Member
		conn   net.Conn
		err    error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	members := t.rank(endpoint)
	results := make(chan result, len(members))
	running, next, refusals, ended := 0, 0, 0, 0
	ask := func() {
		if next == len(members) {
			return
		}
		m := members[next]
		next++
		running++
		go func() {
			conn, err := t.openThrough(ctx, m, endpoint)
			results <- result{member: m, conn: conn, err: err}
		}()
	}
	ask()
	failure := errNoRelay
	if running > 0 {
		failure = errNoAnswer
	}
	for running > 0 {
		timer := time.NewTimer(relayDelay)
		select {
		case r := <-results:
			timer.Stop()
			running--
			isRefused := errors.Is(r.err, syscall.ECONNREFUSED)
			if !isRefused && !errors.Is(r.err, context.Canceled) {
				t.recordRelay(r.member, r.err)
			}
			if r.err == nil {
				t.recordTunnel(endpoint, r.member, start)
				go func() {
					for range running {
						if late := <-results; late.conn != nil {
							_ = late.conn.Close() // It was never used.
						}
					}
				}()
				return r.conn, nil
			}
			if isRefused {
				refusals++
			}
			if errors.Is(r.err, errRelayEnded) {
				ended++
			}
			if refusals == 0 || isRefused {
				failure = r.err
			}
			if refusals >= min(maxRefusals, len(members)) {
				return nil, failure
			}
			ask()
		case <-timer.C:
			ask()
		case <-ctx.Done():
			timer.Stop()
			if refusals > 0 {
				failure = &someRefused{refusals: refusals, ended: ended, asked: len(members)}
			}
			return nil, errors.Join(ctx.Err(), failure)
		}
	}
	if refusals > 0 {
		return nil, &someRefused{refusals: refusals, ended: ended, asked: len(members)}
	}
	return nil, failure
}
