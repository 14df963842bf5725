// Package bootstrapper lets an instance start while the store is unreachable: it
// fetches copies of store tables from other instances and serves the copies of
// this instance to them.
package bootstrapper

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/discoverer"
	"github.com/wigeonstand/wigeonstand/internal/logger"
	"github.com/wigeonstand/wigeonstand/internal/messenger"
	"github.com/wigeonstand/wigeonstand/internal/storer"
)

const (
	methodFetch = "Borrow"
	// maxAttempts is the maximum number of instances asked for one copy. The
	// settings name at most three instances.
	maxAttempts = 3
	// callTimeout limits the time until a copy, or its next part, arrives.
	callTimeout = 500 * time.Millisecond
)

var eventTableFetched = logger.Define(5050, "TableBorrowed", log.WarnLevel,
	"the store was unreachable at the start, and a copy of a table was fetched from another instance",
	"None; the instance reads the store again once it is reachable.")

// Members lists the instances to fetch copies from.
type Members interface {
	Relays() []discoverer.Member
	Suspect(instance string)
}

// Caller calls other instances.
type Caller interface {
	Call(ctx context.Context, address netip.AddrPort, method string, in, out any) error
}

// Table identifies a partition of a table.
type Table struct {
	Name      string `cbor:"1,keyasint"`
	Partition string `cbor:"2,keyasint"`
}

// fetchResponse holds a copy of a table if Found is true.
type fetchResponse struct {
	Found bool        `cbor:"1,keyasint"`
	Page  storer.Page `cbor:"2,keyasint"`
}

// Bootstrapper fetches and serves copies of tables. It is safe for concurrent use.
type Bootstrapper struct {
	members     Members
	caller      Caller
	log         *logger.Logger
	withTimeout Timeouts

	mu        sync.Mutex
	snapshots map[Table]func() (storer.Page, bool)
}

// Timeouts returns a context that ends after the timeout. That of package extender restarts while
// a reply is under way.
type Timeouts func(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc)

// Option sets one property of a Bootstrapper.
type Option func(*Bootstrapper)

// WithTimeouts sets the source of the timeouts of calls, context.WithTimeout by default.
func WithTimeouts(t Timeouts) Option { return func(b *Bootstrapper) { b.withTimeout = t } }

// New returns a Bootstrapper that has no copies to serve.
func New(members Members, caller Caller, log *logger.Logger, options ...Option) *Bootstrapper {
	b := &Bootstrapper{members: members, caller: caller, log: log, withTimeout: context.WithTimeout, snapshots: map[Table]func() (storer.Page, bool){}}
	for _, option := range options {
		option(b)
	}
	return b
}

// Register sets the function that returns this instance's copy of the table, and
// false if there is none.
func (b *Bootstrapper) Register(table Table, snapshot func() (storer.Page, bool)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.snapshots[table] = snapshot
}

// Fetch returns the newest of the copies of several instances: one that the store does not serve
// may have an old copy, in which keys are still valid that have been revoked since.
func (b *Bootstrapper) Fetch(ctx context.Context, table Table) (storer.Page, error) {
	members := b.members.Relays()
	failure := eris.Errorf("none of %d other instances has a copy of table %s", len(members), table.Name)
	members = members[:min(len(members), maxAttempts)]
	responses, failures := make([]fetchResponse, len(members)), make([]error, len(members))
	var calls sync.WaitGroup
	for i, m := range members {
		calls.Go(func() {
			ctx, cancel := b.withTimeout(ctx, callTimeout)
			defer cancel()
			failures[i] = b.caller.Call(ctx, m.Address, methodFetch, table, &responses[i])
		})
	}
	calls.Wait()
	newest := -1
	for i, m := range members {
		if failures[i] != nil {
			b.members.Suspect(m.Instance)
			failure = failures[i]
			continue
		}
		if responses[i].Found && (newest < 0 || responses[i].Page.Version > responses[newest].Page.Version) {
			newest = i
		}
	}
	if newest < 0 {
		return storer.Page{}, failure
	}
	page := responses[newest].Page
	b.log.Log(eventTableFetched, "Table", table.Name, "Rows", len(page.Records), "Row", page.Version, "From", members[newest].Instance)
	return page, nil
}

// Handlers returns the handlers of calls from other instances, by method.
func (b *Bootstrapper) Handlers() map[string]messenger.Handler {
	return map[string]messenger.Handler{
		methodFetch: messenger.Handle(func(_ context.Context, table Table) (fetchResponse, error) {
			b.mu.Lock()
			snapshot := b.snapshots[table]
			b.mu.Unlock()
			var out fetchResponse
			if snapshot != nil {
				out.Page, out.Found = snapshot()
			}
			return out, nil
		}),
	}
}
