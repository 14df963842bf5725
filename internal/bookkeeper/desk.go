package bookkeeper

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/discoverer"
	"github.com/wigeonstand/wigeonstand/internal/messenger"
	"github.com/wigeonstand/wigeonstand/internal/registrar"
)

// The methods between instances.
const (
	methodOpen    = "Open"
	methodClose   = "Close"
	methodReclaim = "Reclaim"
	methodAdopt   = "Adopt"
	methodPing    = "Ping"
)

// reclaimWait bounds the call that asks another bookkeeper for tokens.
const reclaimWait = 200 * time.Millisecond

// keeperWait is how long another bookkeeper may wait for the store before this
// instance takes the books over; a slow store answers within it.
const keeperWait = 1500 * time.Millisecond

// pingAfter is how long a bookkeeper may be silent before it is asked whether it
// lives, and pingWait how long it may take to say so.
const (
	pingAfter = 250 * time.Millisecond
	pingWait  = 200 * time.Millisecond
)

// replyMargin is what a call between instances takes beside the wait for the
// store; an instance that does not answer in that time is avoided.
const replyMargin = 150 * time.Millisecond

// Caller calls other instances.
type Caller interface {
	Call(ctx context.Context, address netip.AddrPort, method string, in, out any) error
}

// Members tells who keeps a program's books.
type Members interface {
	Bookkeepers(program string) []discoverer.Member
	Suspect(instance string)
	Self() discoverer.Member
}

// Gossiper tells and takes the loads of endpoints, which travel with the calls to
// bookkeepers: no instance by itself hears often enough from each endpoint.
type Gossiper interface {
	Observations() []registrar.Observation
	Merge(notes []registrar.Observation)
}

// Handlers returns the handlers of the calls of other instances.
func (k *Bookkeeper) Handlers(loads Gossiper) map[string]messenger.Handler {
	return map[string]messenger.Handler{
		methodOpen: messenger.Handle(func(ctx context.Context, in OpenRequest) (OpenResponse, error) {
			loads.Merge(in.Observations)
			out, err := k.Open(ctx, in)
			out.Observations = loads.Observations()
			return out, err
		}),
		methodClose:   messenger.Handle(k.Close),
		methodReclaim: messenger.Handle(k.Reclaim),
		methodAdopt:   messenger.Handle(k.Adopt),
		methodPing:    messenger.Handle(func(context.Context, Ping) (Ping, error) { return Ping{}, nil }),
	}
}

// Client brings turns to the bookkeeper of their program, here or on another
// instance.
type Client struct {
	local   *Bookkeeper
	members Members
	caller  Caller
	loads   Gossiper
}

// NewClient returns a Desk.
func NewClient(local *Bookkeeper, members Members, caller Caller, loads Gossiper) *Client {
	return &Client{local: local, members: members, caller: caller, loads: loads}
}

// Open reserves the tokens of a turn. It returns the instance that keeps the
// books, for Close. All instances of a data centre turn to the same next
// bookkeeper when one fails, so that few instances write to the store.
func (d *Client) Open(ctx context.Context, in OpenRequest) (OpenResponse, discoverer.Member, error) {
	deadline := time.Now().Add(in.Wait)
	for {
		m := d.members.Bookkeepers(in.Program)[0]
		in.Observations = d.loads.Observations()
		in.Wait = min(time.Until(deadline), keeperWait)
		out, err := ask(ctx, d, m, methodOpen, in.Wait, in, d.local.Open)
		d.loads.Merge(out.Observations)
		switch {
		case ctx.Err() != nil:
			return OpenResponse{}, m, context.Cause(ctx)
		case err == nil && out.Status == Retired:
			d.members.Suspect(m.Instance)
		case err == nil && out.Status != Unavailable:
			return out, m, nil
		}
		if !time.Now().Before(deadline) {
			return OpenResponse{Status: Unavailable}, m, nil
		}
	}
}

// Close settles a turn with the instance that opened it and records it there,
// or with the next bookkeeper if that instance does not answer.
func (d *Client) Close(ctx context.Context, keeper discoverer.Member, in CloseRequest) (CloseResponse, error) {
	deadline := time.Now().Add(in.Wait)
	for {
		in.Wait = min(time.Until(deadline), keeperWait)
		out, err := ask(ctx, d, keeper, methodClose, in.Wait, in, d.local.Close)
		if in.Record == nil || ctx.Err() != nil || (err == nil && out.Status == OK) {
			return out, err
		}
		if !time.Now().Before(deadline) {
			return CloseResponse{Status: InDoubt}, err
		}
		if err != nil {
			keeper = d.members.Bookkeepers(in.Program)[0]
		}
	}
}

// ask calls the member, or the local function if the member is this instance. A
// member may wait long for the store; one that does not even answer a ping is
// given up at once.
func ask[In, Out any](ctx context.Context, d *Client, m discoverer.Member, method string, wait time.Duration,
	in In, local func(context.Context, In) (Out, error),
) (Out, error) {
	if m.Instance == d.members.Self().Instance {
		return local(ctx, in)
	}
	bounded, cancel := context.WithTimeout(ctx, wait+replyMargin)
	defer cancel()
	var lives atomic.Bool
	watch := time.AfterFunc(pingAfter, func() {
		short, stop := context.WithTimeout(bounded, pingWait)
		defer stop()
		if err := d.caller.Call(short, m.Address, methodPing, Ping{}, &Ping{}); err != nil {
			cancel()
			return
		}
		lives.Store(true)
	})
	defer watch.Stop()
	var out Out
	err := d.caller.Call(bounded, m.Address, method, in, &out)
	if err != nil && ctx.Err() == nil && !lives.Load() {
		d.members.Suspect(m.Instance)
		return out, eris.Wrapf(err, "bookkeeper %s", m.Instance)
	}
	return out, err
}

// Ping asks whether an instance lives, and answers that it does.
type Ping struct{}

// Finder finds the instance of a holder.
type Finder interface {
	FindIncarnation(incarnation string) (discoverer.Member, bool)
}

// NewReclaimer returns a Reclaimer that calls the holder's instance.
func NewReclaimer(members Finder, caller Caller) Reclaimer {
	return func(ctx context.Context, holder, program string) (ReclaimResponse, error) {
		m, found := members.FindIncarnation(holder)
		if !found {
			return ReclaimResponse{}, eris.Errorf("holder %s is not a living instance", holder)
		}
		var out ReclaimResponse
		err := caller.Call(ctx, m.Address, methodReclaim, ReclaimRequest{Program: program, Holder: holder}, &out)
		return out, err
	}
}
