// Package discoverer owns the membership: which instances live, which of them to
// avoid after failed calls, and which instance a program's books are kept on by
// preference. Membership never carries authority; rows under their versions do.
package discoverer

import (
	"context"
	"math"
	"net/netip"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/storer"
	"github.com/wigeonstand/wigeonstand/internal/tracker"
)

// Table is the table of the members' rows.
const Table = "members"

// partition keeps heartbeats from queueing with the rows of programs.
const partition = "members"

const (
	// keeperInterval is the time between two writes of a bookkeeper's own row,
	// and otherInterval that of all others, whose end is noticed by the calls
	// they fail. At 300 instances that makes 17 writes a second, which all
	// instances read.
	keeperInterval = 5 * time.Second
	otherInterval  = 20 * time.Second
	// missedBeats of its interval and slowWrites are how long a row may stay the
	// same before its instance counts as gone.
	missedBeats = 2
	slowWrites  = 3 * time.Second
	// suspectFor is how long an instance is avoided after a failed call.
	suspectFor = 2 * time.Second
	// booksShare is the number of instances of a data centre for each of its
	// bookkeepers: few bookkeepers join the changes of many programs, and all
	// of them share the rate of one partition of the store.
	booksShare = 20
)

// leastCores stands for the cores of a member that does not tell them.
const leastCores = 0.01

// Member is one instance.
type Member struct {
	// Instance is the name; Incarnation tells its processes apart.
	Instance    string         `cbor:"1,keyasint"`
	Incarnation string         `cbor:"2,keyasint"`
	Address     netip.AddrPort `cbor:"3,keyasint"`
	DataCentre  string         `cbor:"4,keyasint"`
	// Beat rises with each heartbeat.
	Beat int64 `cbor:"5,keyasint"`
	// Cores is the processor share of the instance; larger instances are
	// preferred as bookkeepers.
	Cores float64 `cbor:"6,keyasint"`
	// Interval is the time until the next heartbeat.
	Interval time.Duration `cbor:"7,keyasint"`
}

type seen struct {
	Member
	version int64
	since   time.Time
}

// Discoverer knows the members. It is safe for concurrent use.
type Discoverer struct {
	self    Member
	rows    storer.Rows
	tracker *tracker.Tracker
	seeds   []Member

	beats     atomic.Int64
	announced atomic.Pointer[announcement]
	isRetired atomic.Bool

	mu       sync.Mutex
	members  map[string]*seen
	suspects map[string]time.Time
	listed   time.Time
}

// Option sets one property of a Discoverer.
type Option func(*Discoverer)

// WithSeeds sets addresses of instances to go through before any member is known.
func WithSeeds(addresses []netip.AddrPort) Option {
	return func(e *Discoverer) {
		for _, a := range addresses {
			if a != e.self.Address {
				e.seeds = append(e.seeds, Member{Instance: a.String(), Address: a})
			}
		}
	}
}

// New returns a Discoverer of the instance itself.
func New(self Member, rows storer.Rows, options ...Option) *Discoverer {
	e := &Discoverer{
		self: self, rows: rows, tracker: tracker.New(rows, Table, partition),
		members: map[string]*seen{}, suspects: map[string]time.Time{},
	}
	for _, option := range options {
		option(e)
	}
	return e
}

// announcement is the last write of the instance's own row.
type announcement struct {
	at       time.Time
	interval time.Duration
}

// IsHeartbeatDue says whether the instance's own row is to be written.
func (e *Discoverer) IsHeartbeatDue() bool {
	last := e.announced.Load()
	return last == nil || time.Since(last.at) >= min(last.interval, e.interval())
}

// interval is the time between two heartbeats of this instance.
func (e *Discoverer) interval() time.Duration {
	for _, m := range e.keepers() {
		if m.Instance == e.self.Instance {
			return keeperInterval
		}
	}
	return otherInterval
}

// WriteHeartbeat writes the instance's own row.
func (e *Discoverer) WriteHeartbeat(ctx context.Context) error {
	row, begun := e.self, time.Now()
	row.Beat, row.Interval = e.beats.Add(1), e.interval()
	value, err := cbor.Marshal(row)
	if err != nil {
		return eris.Wrap(err, "encode the member")
	}
	if _, err = e.rows.Transact(ctx, []storer.Change{{RowKey: e.key(), Expected: storer.AnyVersion, Value: value}}); err != nil {
		return err
	}
	e.announced.Store(&announcement{at: begun, interval: row.Interval})
	return nil
}

// Deregister removes the instance's own row; it keeps no more books.
func (e *Discoverer) Deregister(ctx context.Context) error {
	e.isRetired.Store(true)
	_, err := e.rows.Transact(ctx, []storer.Change{{RowKey: e.key(), Expected: storer.AnyVersion, Delete: true}})
	return err
}

func (e *Discoverer) key() storer.RowKey {
	return storer.RowKey{Table: Table, Partition: partition, Name: e.self.Instance}
}

// Refresh reads the members. It returns the names of those that came and went.
// It is for one goroutine.
func (e *Discoverer) Refresh(ctx context.Context) (came, went []string, err error) {
	if _, err := e.tracker.Refresh(ctx, 0); err != nil {
		return nil, nil, err
	}
	came, went = e.take(e.tracker.Records())
	return came, went, nil
}

func (e *Discoverer) take(records []storer.Record) (came, went []string) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	// A row is not older than the time that nobody could write.
	gap := time.Duration(0)
	if !e.listed.IsZero() {
		gap = max(now.Sub(e.listed)-keeperInterval, 0)
	}
	e.listed = now
	members := make(map[string]*seen, len(records))
	for _, r := range records {
		var m Member
		if err := cbor.Unmarshal(r.Value, &m); err != nil || m.Instance != r.Name {
			continue // Not a member's row; the table is the system's own, so an old format at most.
		}
		known := e.members[r.Name]
		if known == nil || known.version != r.Version {
			if known == nil {
				came = append(came, r.Name)
			}
			known = &seen{Member: m, version: r.Version, since: now}
		} else {
			known.since = known.since.Add(gap)
		}
		members[r.Name] = known
	}
	for name := range e.members {
		if members[name] == nil {
			went = append(went, name)
		}
	}
	e.members = members
	return came, went
}

// Suspect avoids the instance for a while after a failed call.
func (e *Discoverer) Suspect(instance string) {
	if instance == e.self.Instance {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.suspects[instance] = time.Now().Add(suspectFor)
}

// Count returns the number of living members, this instance included.
func (e *Discoverer) Count() int { return 1 + len(e.others("")) }

// others returns the other living members that are not avoided, of the data
// centre if one is given.
func (e *Discoverer) others(dataCentre string) []Member {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	var members []Member
	for name, m := range e.members {
		isLive := now.Sub(m.since) <= missedBeats*max(m.Interval, keeperInterval)+slowWrites && now.After(e.suspects[name])
		if name != e.self.Instance && isLive && (dataCentre == "" || m.DataCentre == dataCentre) {
			members = append(members, m.Member)
		}
	}
	return members
}

// Bookkeepers returns the instances that keep the program's books, the preferred
// first. All instances of a data centre prefer the same few, so that these join
// the changes of all. There is one at least: this instance, if it knows no other.
func (e *Discoverer) Bookkeepers(program string) []Member {
	keepers := e.keepers()
	sort.Slice(keepers, func(i, j int) bool { return rank(program, keepers[i]) > rank(program, keepers[j]) })
	return keepers
}

// keepers returns the bookkeepers of the instance's own data centre.
func (e *Discoverer) keepers() []Member {
	members := e.others(e.self.DataCentre)
	if !e.isRetired.Load() || len(members) == 0 {
		members = append(members, e.self)
	}
	sort.Slice(members, func(i, j int) bool { return rank("", members[i]) > rank("", members[j]) })
	return members[:keepersOf(len(members))]
}

func keepersOf(members int) int { return (members + booksShare - 1) / booksShare }

// BookkeeperCount returns the number of preferred bookkeepers of all data
// centres.
func (e *Discoverer) BookkeeperCount() int {
	members := map[string]int{e.self.DataCentre: 1}
	for _, m := range e.others("") {
		members[m.DataCentre]++
	}
	count := 0
	for _, n := range members {
		count += keepersOf(n)
	}
	return count
}

// FindIncarnation returns the living member whose process has the incarnation.
func (e *Discoverer) FindIncarnation(incarnation string) (Member, bool) {
	for _, m := range e.others("") {
		if m.Incarnation == incarnation {
			return m, true
		}
	}
	return Member{}, false
}

// Relays returns other instances that may reach the store in place of this
// one, in an order of its own.
func (e *Discoverer) Relays() []Member {
	members := e.others("")
	if len(members) == 0 {
		members = e.unsuspected(e.seeds)
	}
	sort.Slice(members, func(i, j int) bool {
		return rank(e.self.Incarnation, members[i]) > rank(e.self.Incarnation, members[j])
	})
	return members
}

func (e *Discoverer) unsuspected(members []Member) []Member {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return !now.After(e.suspects[m.Instance]) })
}

// Self returns the instance itself.
func (e *Discoverer) Self() Member { return e.self }

// rank is the weighted rendezvous score of the member for the key: of two
// members, one with twice the cores ranks first for twice as many keys.
func rank(key string, m Member) float64 {
	hash := xxhash.Sum64String(key + "\x00" + m.Instance)
	unit := (float64(hash>>11) + 0.5) / (1 << 53)
	return -max(m.Cores, leastCores) / math.Log(unit)
}
