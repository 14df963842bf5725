// Package bootstrapper owns the copies of the store's tables that an instance gives to
// another one that starts while the store is out of reach. It does not own the
// copies, nor what the rows mean.
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
	methodBorrow = "Borrow"
	// tries is how many instances are asked for one copy: the settings name
	// three at most.
	tries = 3
	// patience bounds one call; a table of 3,000 rows takes some ten
	// milliseconds.
	patience = 500 * time.Millisecond
)

var eventBorrowed = logger.Define(5050, "TableBorrowed", log.WarnLevel,
	"the store was out of reach at the start, and another instance gave its copy of a table",
	"None; the instance follows the store when it is back.")

// Members lists the instances to ask.
type Members interface {
	Relays() []discoverer.Member
	Suspect(instance string)
}

// Caller calls other instances.
type Caller interface {
	Call(ctx context.Context, address netip.AddrPort, method string, in, out any) error
}

// Table names a partition of a table.
type Table struct {
	Name      string `cbor:"1,keyasint"`
	Partition string `cbor:"2,keyasint"`
}

// reply holds a copy, or none.
type reply struct {
	Found bool        `cbor:"1,keyasint"`
	Page  storer.Page `cbor:"2,keyasint"`
}

// Bootstrapper gives and takes copies. It is safe for concurrent use.
type Bootstrapper struct {
	members Members
	caller  Caller
	log     *logger.Logger

	mu     sync.Mutex
	copies map[Table]func() (storer.Page, bool)
}

// New returns a Lender.
func New(members Members, caller Caller, log *logger.Logger) *Bootstrapper {
	return &Bootstrapper{members: members, caller: caller, log: log, copies: map[Table]func() (storer.Page, bool){}}
}

// Register gives others what the function returns, if it returns true.
func (l *Bootstrapper) Register(table Table, copied func() (storer.Page, bool)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.copies[table] = copied
}

// Fetch returns another instance's copy of the table.
func (l *Bootstrapper) Fetch(ctx context.Context, table Table) (storer.Page, error) {
	members := l.members.Relays()
	failure := eris.Errorf("none of %d other instances has a copy of table %s", len(members), table.Name)
	for _, m := range members[:min(len(members), tries)] {
		var out reply
		bounded, cancel := context.WithTimeout(ctx, patience)
		err := l.caller.Call(bounded, m.Address, methodBorrow, table, &out)
		cancel()
		if err != nil {
			l.members.Suspect(m.Instance)
			failure = err
			continue
		}
		if out.Found {
			l.log.Log(eventBorrowed, "Table", table.Name, "Rows", len(out.Page.Records), "Row", out.Page.Version, "From", m.Instance)
			return out.Page, nil
		}
	}
	return storer.Page{}, failure
}

// Handlers returns the handler of other instances' calls.
func (l *Bootstrapper) Handlers() map[string]messenger.Handler {
	return map[string]messenger.Handler{
		methodBorrow: messenger.Handle(func(_ context.Context, table Table) (reply, error) {
			l.mu.Lock()
			copied := l.copies[table]
			l.mu.Unlock()
			var out reply
			if copied != nil {
				out.Page, out.Found = copied()
			}
			return out, nil
		}),
	}
}
