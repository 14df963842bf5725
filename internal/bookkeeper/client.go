package bookkeeper

import (
	"context"
	"errors"
	"maps"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/discoverer"
	"github.com/wigeonstand/wigeonstand/internal/messenger"
	"github.com/wigeonstand/wigeonstand/internal/quarantiner"
	"github.com/wigeonstand/wigeonstand/internal/registrar"
)

// Methods that instances call on each other.
const (
	methodOpen    = "Open"
	methodClose   = "Close"
	methodReclaim = "Reclaim"
	methodAdopt   = "Adopt"
	methodPing    = "Ping"
)

// reclaimTimeout limits the reclaim calls for one program.
const reclaimTimeout = 200 * time.Millisecond

// bookkeeperTimeout is how long a bookkeeper may wait for the store before the
// call is retried, possibly with the next bookkeeper. Even a slow store answers
// within this time.
const bookkeeperTimeout = 1500 * time.Millisecond

// pingDelay is how long a call may remain unanswered before the callee is pinged;
// pingTimeout limits the ping.
const (
	pingDelay   = 250 * time.Millisecond
	pingTimeout = 200 * time.Millisecond
)

// networkMargin is the time allowed for a call between instances beyond the wait
// for the store. An instance that answers neither the call nor a ping in time is
// avoided.
const networkMargin = 150 * time.Millisecond

// callInterval is the minimum time between the starts of two calls for one request to the same
// bookkeeper. A call may fail at once, and one of a retired bookkeeper does.
const callInterval = 50 * time.Millisecond

// Caller calls other instances.
type Caller interface {
	Call(ctx context.Context, address netip.AddrPort, method string, in, out any) error
}

// Members selects the bookkeeper of a program, and that which records a turn.
type Members interface {
	Bookkeepers(program string) []discoverer.Member
	Recorders(turn string) []discoverer.Member
	Suspect(instance string)
	Self() discoverer.Member
}

// Gossiper exchanges observations of endpoints, which are attached to the calls to
// bookkeepers: a single instance gets too few responses from each endpoint.
type Gossiper interface {
	// Observations returns the observations of a bookkeeper, for an instance that called it,
	// and ObservationsFor those for the bookkeeper on the instance.
	Observations() []registrar.Observation
	ObservationsFor(instance string) []registrar.Observation
	Merge(observations []registrar.Observation)
}

// VerdictGossiper exchanges verdicts on requests that crash endpoints, which are attached to
// the same calls: a turn is not sent before its instance knows those of its bookkeeper.
type VerdictGossiper interface {
	Verdicts() []quarantiner.Verdict
	MergeVerdicts(verdicts []quarantiner.Verdict)
}

// noVerdicts is the VerdictGossiper of a Bookkeeper without one.
type noVerdicts struct{}

func (noVerdicts) Verdicts() []quarantiner.Verdict     { return nil }
func (noVerdicts) MergeVerdicts([]quarantiner.Verdict) {}

// Handlers returns the handlers of calls from other instances, by method.
func (k *Bookkeeper) Handlers(gossiper Gossiper) map[string]messenger.Handler {
	handlers := map[string]messenger.Handler{
		methodOpen: messenger.Handle(func(ctx context.Context, in OpenRequest) (OpenResponse, error) {
			gossiper.Merge(in.Observations)
			k.verdicts.MergeVerdicts(in.Verdicts)
			out, err := k.Open(ctx, in)
			out.Observations, out.Verdicts = gossiper.Observations(), k.verdicts.Verdicts()
			return out, err
		}),
		methodClose:   messenger.Handle(k.Close),
		methodReclaim: messenger.Handle(k.Reclaim),
		methodAdopt:   messenger.Handle(k.Adopt),
		methodPing:    messenger.Handle(func(context.Context, Ping) (Ping, error) { return Ping{}, nil }),
	}
	maps.Copy(handlers, k.rightsHandlers())
	return handlers
}

// Client calls the bookkeeper of a program, on this or another instance. It is
// safe for concurrent use.
type Client struct {
	local    *Bookkeeper
	members  Members
	caller   Caller
	gossiper Gossiper

	withTimeout Timeouts
	// keyOf returns the key by which a program's bookkeeper is selected: that of its
	// slot if the bookkeeper holds the slot's right.
	keyOf func(program string) string
}

// Timeouts returns a context that ends after the timeout.
type Timeouts func(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc)

// ClientOption sets one property of a Client.
type ClientOption func(*Client)

// WithTimeouts sets the source of the timeouts of calls, context.WithTimeout by default.
func WithTimeouts(t Timeouts) ClientOption { return func(c *Client) { c.withTimeout = t } }

// NewClient returns a Client of the local bookkeeper and those of the members.
func NewClient(local *Bookkeeper, members Members, caller Caller, gossiper Gossiper, options ...ClientOption) *Client {
	keyOf := func(program string) string { return program }
	if local.readRights != nil {
		keyOf = slotKey
	}
	c := &Client{local: local, members: members, caller: caller, gossiper: gossiper, withTimeout: context.WithTimeout, keyOf: keyOf}
	for _, option := range options {
		option(c)
	}
	return c
}

// Open reserves the tokens of a turn. It returns the instance that made the
// reservation, for Close. If a bookkeeper fails, all instances of a data centre
// fall back to the same next one, so that few instances write to the store.
func (c *Client) Open(ctx context.Context, in OpenRequest) (OpenResponse, discoverer.Member, error) {
	deadline := time.Now().Add(in.Wait)
	for {
		m := c.members.Bookkeepers(c.keyOf(in.Program))[0]
		in.Observations, in.Verdicts = c.gossiper.ObservationsFor(m.Instance), c.local.verdicts.Verdicts()
		in.Wait = min(time.Until(deadline), bookkeeperTimeout)
		start := time.Now()
		out, err := call(ctx, c, m, methodOpen, in.Wait, in, c.local.Open)
		c.gossiper.Merge(out.Observations)
		c.local.verdicts.MergeVerdicts(out.Verdicts)
		switch {
		case ctx.Err() != nil:
			return OpenResponse{}, m, context.Cause(ctx)
		case err == nil && out.Status == Retired:
			c.members.Suspect(m.Instance)
		case err == nil && out.Status != Unavailable:
			return out, m, nil
		}
		if m.Instance == c.members.Bookkeepers(c.keyOf(in.Program))[0].Instance {
			pause(ctx, min(callInterval-time.Since(start), time.Until(deadline)))
		}
		if !time.Now().Before(deadline) {
			return OpenResponse{Status: Unavailable}, m, nil
		}
	}
}

// Close settles a turn on the member that opened it.
func (c *Client) Close(ctx context.Context, member discoverer.Member, in CloseRequest) error {
	_, err := call(ctx, c, member, methodClose, in.Wait, in, c.local.Close)
	return err
}

// Record records a turn. If a bookkeeper does not answer, the next one is asked.
func (c *Client) Record(ctx context.Context, in CloseRequest) (CloseResponse, error) {
	deadline := time.Now().Add(in.Wait)
	for {
		in.Wait = min(time.Until(deadline), bookkeeperTimeout)
		member := c.members.Recorders(in.Record.ID)[0]
		start := time.Now()
		out, err := call(ctx, c, member, methodClose, in.Wait, in, c.local.Close)
		if ctx.Err() != nil || (err == nil && out.Status == OK) {
			return out, err
		}
		if member.Instance == c.members.Recorders(in.Record.ID)[0].Instance {
			pause(ctx, min(callInterval-time.Since(start), time.Until(deadline)))
		}
		if !time.Now().Before(deadline) {
			return CloseResponse{Status: InDoubt}, err
		}
	}
}

// call calls the member, or the local function if the member is this instance. A
// member may wait for the store, but the call is canceled if the member does not
// answer a ping. The member is suspected if it doesn't answer one on a new connection either.
func call[In, Out any](ctx context.Context, c *Client, m discoverer.Member, method string, wait time.Duration,
	in In, local func(context.Context, In) (Out, error),
) (Out, error) {
	if m.Instance == c.members.Self().Instance {
		return local(ctx, in)
	}
	callCtx, cancel := c.withTimeout(ctx, wait+networkMargin)
	defer cancel()
	var isAlive atomic.Bool
	pingTimer := time.AfterFunc(pingDelay, func() {
		err := c.ping(callCtx, m)
		if !errors.Is(err, messenger.ErrStale) {
			isAlive.Store(err == nil)
		} else {
			// The call itself probably waits on such a connection.
			isAlive.Store(c.ping(callCtx, m) == nil)
		}
		if err != nil {
			cancel()
		}
	})
	defer pingTimer.Stop()
	var out Out
	err := c.caller.Call(callCtx, m.Address, method, in, &out)
	if err == nil || ctx.Err() != nil || isAlive.Load() {
		return out, err
	}
	if !errors.Is(err, messenger.ErrStale) || c.ping(ctx, m) != nil {
		c.members.Suspect(m.Instance)
	}
	return out, eris.Wrapf(err, "bookkeeper %s", m.Instance)
}

// ping checks whether the member answers.
func (c *Client) ping(ctx context.Context, m discoverer.Member) error {
	ctx, cancel := c.withTimeout(ctx, pingTimeout)
	defer cancel()
	return c.caller.Call(ctx, m.Address, methodPing, Ping{}, &Ping{})
}

// Ping is the request and the response of a liveness check.
type Ping struct{}

// Finder finds the instance on which a holder runs.
type Finder interface {
	FindIncarnation(incarnation string) (discoverer.Member, bool)
}

// NewReclaimer returns a Reclaimer that calls the bookkeeper on the holder's
// instance.
func NewReclaimer(members Finder, caller Caller) Reclaimer {
	return func(ctx context.Context, holder, program string) (ReclaimResponse, error) {
		m, found := members.FindIncarnation(holder)
		if !found {
			return ReclaimResponse{}, eris.Errorf("holder %s is not a known instance", holder)
		}
		var out ReclaimResponse
		err := caller.Call(ctx, m.Address, methodReclaim, ReclaimRequest{Program: program, Holder: holder}, &out)
		return out, err
	}
}
