// Package discoverer discovers the live instances of the deployment by heartbeats
// that each instance writes to the store. It also selects the instances that act as
// bookkeepers, which account for the token budgets of programs, and avoids instances
// after failed calls. Which instances are live is only a hint: correctness depends on the
// versions of the rows in the store. The rows themselves state which instances know each other.
package discoverer

import (
	"cmp"
	"context"
	"errors"
	"math"
	"net/netip"
	"slices"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/wigeonstand/wigeonstand/internal/storer"
	"github.com/wigeonstand/wigeonstand/internal/tracker"
)

// Table is the table of the members, one row each.
const Table = "members"

// partition is the partition of all members' rows. It differs from those of the
// programs' rows, so that heartbeats don't queue behind them.
const partition = "members"

const (
	// bookkeeperInterval is the time between two heartbeats of a bookkeeper, and
	// defaultInterval that of all other instances, whose failure is also noticed by
	// failed calls. At 300 instances that makes 17 writes per second, each of which
	// all instances read.
	bookkeeperInterval = 5 * time.Second
	defaultInterval    = 20 * time.Second
	// An instance counts as live until it has missed missedHeartbeats heartbeats;
	// writeDelayAllowance is added for slow writes.
	missedHeartbeats    = 2
	writeDelayAllowance = 3 * time.Second
	// suspicionTimeout is how long an instance is avoided after a failed call.
	suspicionTimeout = 2 * time.Second
	// selectionMaxAge is how long a selection of bookkeepers is used. Members also
	// cease to be live by time, which a selection shows with this delay.
	selectionMaxAge = 200 * time.Millisecond
	// membersPerBookkeeper is the number of instances in a data centre per
	// bookkeeper. With few bookkeepers, each batches the writes of many programs;
	// all of them share the write rate of one partition of the store.
	membersPerBookkeeper = 20
	// maxDeleters limits the instances that try to delete the row of a lapsed member, each
	// deleterDelay after the one before.
	maxDeleters  = 3
	deleterDelay = 3 * time.Second
	// StandInDelay is the age of a table up to which an instance relies on it for what concerns
	// contested members. A change of these binds all instances that long after it was written. It
	// exceeds usual outages of the store, so that they change nothing.
	StandInDelay = 8 * time.Second
	// removedTime is how long the row of a removed member is left, and contestMemory how long an
	// instance counts as contested after that was taken back. Both exceed StandInDelay.
	removedTime   = StandInDelay + 4*time.Second
	contestMemory = StandInDelay + time.Second
)

// minCores is assumed for a member that reports no cores.
const minCores = 0.01

// Member describes an instance, as stored in its row.
type Member struct {
	// Instance is the name. Incarnation is unique to each process of the instance; it is the
	// name, a slash, and what tells the processes apart.
	Instance    string         `cbor:"1,keyasint"`
	Incarnation string         `cbor:"2,keyasint"`
	Address     netip.AddrPort `cbor:"3,keyasint"`
	DataCentre  string         `cbor:"4,keyasint"`
	// Heartbeats is the number of heartbeats written so far.
	Heartbeats int64 `cbor:"5,keyasint"`
	// Cores is the instance's share of the processor in cores. Larger instances
	// are preferred as bookkeepers.
	Cores float64 `cbor:"6,keyasint"`
	// Interval is the time until the next heartbeat.
	Interval time.Duration `cbor:"7,keyasint"`
	// OutageShare is the part of budgets that the instance withholds, in thousandths.
	OutageShare int64 `cbor:"8,keyasint,omitempty"`
	// StartedAt is the store's time in milliseconds by which the process had started; zero until
	// it knows that.
	StartedAt int64 `cbor:"9,keyasint,omitempty"`
	// ContinuousFrom is a version of the store from which the instance has had a row at all times,
	// also of earlier processes; zero in the row that was created last.
	ContinuousFrom int64 `cbor:"10,keyasint,omitempty"`
	// ReadVersion is the version of the store up to which the instance had read the table when it
	// wrote the row: notRead if it had not, or not found any row in the store, and zero from builds
	// that do not state it.
	ReadVersion int64 `cbor:"11,keyasint,omitempty"`
	// IsContested is set by another instance that does not reach the member, and taken back by the
	// member's next heartbeat.
	IsContested bool `cbor:"12,keyasint,omitempty"`
	// IsRemoved is set in the row of a member that has lapsed, or has stopped, after it was
	// contested. The row is deleted later.
	IsRemoved bool `cbor:"13,keyasint,omitempty"`
	// WasContested is set by the member while its row was contested less than contestMemory ago, for its
	// next process.
	WasContested bool `cbor:"14,keyasint,omitempty"`
}

// Discoverer maintains the list of members. It is safe for concurrent use, except for
// Refresh.
type Discoverer struct {
	self    Member
	rows    storer.Rows
	tracker *tracker.Tracker
	seeds   []Member
	clock   func() (storer.Reading, bool)
	// createdAt is no earlier than the start of the process.
	createdAt time.Time
	// startedAt is self's StartedAt once it is known.
	startedAt atomic.Int64

	heartbeats atomic.Int64
	// version is that of the last heartbeat, and continuousFrom the ContinuousFrom of the next one.
	version        atomic.Int64
	continuousFrom atomic.Int64
	lastHeartbeat  atomic.Pointer[heartbeat]
	isDeregistered atomic.Bool

	mu             sync.Mutex
	members        map[string]*memberState
	suspectedUntil map[string]time.Time
	refreshedAt    time.Time
	// readAt is when the last successful read of the members began, and readVersion the version
	// of the store that it brought.
	readAt      time.Time
	readVersion int64
	// own is this instance's row as read last, of any process; its version is zero if there is none.
	own Row
	// removed are the rows of removed members, by name.
	removed map[string]*memberState
	// isContested is set while this instance's own row is or may be contested, and contestEndedAt
	// is when it was last known not to be any longer.
	isContested    bool
	contestEndedAt time.Time
	// selected caches the bookkeepers; nil after a change.
	selected *selection
}

// selection is the bookkeepers among the members that were live at a time.
type selection struct {
	at time.Time
	// all are those of all data centres, own those of this instance's.
	all, own []Member
	// live is the number of live members, including this instance.
	live int
}

// Option configures a Discoverer.
type Option func(*Discoverer)

// WithSeeds sets the addresses of instances to use as relays while no other member
// is known.
func WithSeeds(addresses []netip.AddrPort) Option {
	return func(d *Discoverer) {
		for _, a := range addresses {
			if a != d.self.Address {
				d.seeds = append(d.seeds, Member{Instance: a.String(), Address: a})
			}
		}
	}
}

// WithClock sets the source of readings of the store's clock.
func WithClock(clock func() (storer.Reading, bool)) Option {
	return func(d *Discoverer) { d.clock = clock }
}

// New returns a Discoverer that runs on the instance described by self.
func New(self Member, rows storer.Rows, options ...Option) *Discoverer {
	d := &Discoverer{
		self: self, rows: rows, tracker: tracker.New(rows, Table, partition), createdAt: time.Now(),
		clock:   func() (storer.Reading, bool) { return storer.Reading{}, false },
		members: map[string]*memberState{}, removed: map[string]*memberState{}, suspectedUntil: map[string]time.Time{},
	}
	for _, option := range options {
		option(d)
	}
	return d
}

// heartbeat records when this instance last wrote its own row, and the interval that
// the row states.
type heartbeat struct {
	at       time.Time
	interval time.Duration
	// hasStart is true if the row states the start of the process.
	hasStart bool
}

// IsHeartbeatDue reports whether this instance must write its next heartbeat.
func (d *Discoverer) IsHeartbeatDue() bool {
	last := d.lastHeartbeat.Load()
	if last == nil || time.Since(last.at) >= min(last.interval, d.interval()) {
		return true
	}
	if isContested, _ := d.Contest(); isContested {
		return true
	}
	return !last.hasStart && d.learnStart() != 0
}

// learnStart returns the store's time in milliseconds by which this process had started, and zero
// while that is unknown.
func (d *Discoverer) learnStart() int64 {
	if at := d.startedAt.Load(); at != 0 {
		return at
	}
	reading, isKnown := d.clock()
	if !isKnown {
		return 0
	}
	d.startedAt.CompareAndSwap(0, reading.AtMost(d.createdAt).UnixMilli())
	return d.startedAt.Load()
}

// interval returns the time between two heartbeats of this instance.
func (d *Discoverer) interval() time.Duration {
	for _, m := range d.selection().own {
		if m.Instance == d.self.Instance {
			return bookkeeperInterval
		}
	}
	return defaultInterval
}

// WriteHeartbeat writes this instance's own row to the store.
func (d *Discoverer) WriteHeartbeat(ctx context.Context) error {
	row, started := d.self, time.Now()
	row.Heartbeats, row.Interval, row.StartedAt = d.heartbeats.Add(1), d.interval(), d.learnStart()
	expected, from := d.version.Load(), d.continuousFrom.Load()
	d.mu.Lock()
	// Zero would be taken for an older build.
	if row.ReadVersion = d.readVersion; row.ReadVersion == 0 {
		row.ReadVersion = notRead
	}
	row.WasContested = d.lockedWasContested()
	if expected == 0 {
		// Until one is known to be written, an earlier one may be written late.
		row.Interval = bookkeeperInterval
		if expected = d.own.Version; expected != 0 {
			from = d.own.continuedFrom(d.self)
		}
	}
	d.mu.Unlock()
	// One that is written without a response counts for the others.
	if last := d.lastHeartbeat.Load(); last != nil && row.Interval < last.interval {
		d.lastHeartbeat.Store(&heartbeat{at: last.at, interval: row.Interval, hasStart: last.hasStart})
	}
	// The condition keeps a heartbeat that takes effect late from replacing a later one, and shows
	// whether the row has been deleted since it was read.
	version, err := d.writeRow(ctx, row, expected, from)
	var conflict *storer.Conflict
	if errors.As(err, &conflict) {
		current := d.currentRow(conflict)
		if expected, from = current.Version, 0; expected != 0 {
			from = current.continuedFrom(d.self)
		}
		isContested := current.isContestedFor(d.self)
		d.recordContest(isContested)
		row.WasContested = row.WasContested || isContested
		if d.isDeregistered.Load() {
			return nil // The row was deleted meanwhile.
		}
		version, err = d.writeRow(ctx, row, expected, from)
	}
	if err != nil {
		return err
	}
	if from == 0 {
		from = version
	}
	d.recordContest(false)
	d.version.Store(version)
	d.continuousFrom.Store(from)
	d.lastHeartbeat.Store(&heartbeat{at: started, interval: row.Interval, hasStart: row.StartedAt != 0})
	return nil
}

// recordContest records whether the own row is contested.
func (d *Discoverer) recordContest(isContested bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lockedRecordContest(isContested)
}

func (d *Discoverer) lockedRecordContest(isContested bool) {
	if d.isContested && !isContested {
		d.contestEndedAt = time.Now()
	}
	d.isContested = isContested
}

// lockedWasContested reports whether the own row is contested, or was so recently.
func (d *Discoverer) lockedWasContested() bool {
	return d.isContested || time.Since(d.contestEndedAt) < contestMemory
}

// Contest reports whether this instance's own row is or may be contested, and when it was last
// known not to be any longer.
func (d *Discoverer) Contest() (isContested bool, endedAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isContested, d.contestEndedAt
}

// Join writes the first heartbeat between two reads of the members and returns the names of those
// that were read. The first read brings the store's clock, by which the heartbeat states the start
// of the process. The second one finds instances that have joined meanwhile, so that this one has
// relays if the store does not serve it from then on. Failed reads are left to Refresh.
func (d *Discoverer) Join(ctx context.Context) (joined []string, err error) {
	joined, _, _ = d.Refresh(ctx)
	err = d.WriteHeartbeat(ctx)
	more, _, _ := d.Refresh(ctx)
	return append(joined, more...), err
}

// Deregister deletes this instance's own row from the store. From then on the
// instance selects itself as a bookkeeper only if it knows no other in its data centre.
func (d *Discoverer) Deregister(ctx context.Context) error {
	d.isDeregistered.Store(true)
	d.mu.Lock()
	d.selected = nil
	d.mu.Unlock()
	// The condition keeps a deletion that takes effect late from removing the row of the
	// instance's next process, which others would then drop from their lists.
	change := storer.Change{RowKey: d.key(), Expected: d.version.Load(), Delete: true}
	d.mu.Lock()
	wasContested := d.lockedWasContested()
	d.mu.Unlock()
	if wasContested {
		return d.remove(ctx)
	}
	_, err := d.rows.Transact(ctx, []storer.Change{change})
	var conflict *storer.Conflict
	if !errors.As(err, &conflict) {
		return err
	}
	current := d.currentRow(conflict)
	if current.Incarnation != d.self.Incarnation {
		return nil // The row is another process's, or has been deleted.
	}
	if current.IsContested {
		current.IsRemoved = true
		return d.replaceRow(ctx, current)
	}
	change.Expected = current.Version
	_, err = d.rows.Transact(ctx, []storer.Change{change})
	return err
}

// Refresh reads the members from the store. It returns the names of the instances
// that have joined and left since the last call. It is not safe for concurrent use.
func (d *Discoverer) Refresh(ctx context.Context) (joined, left []string, err error) {
	start := time.Now()
	if _, err := d.tracker.Refresh(ctx, 0); err != nil {
		return nil, nil, err
	}
	joined, left = d.update(d.tracker.Records(), start, d.tracker.Version())
	return joined, left, nil
}

// ReadAt returns when the last successful read of the members began; zero before the first.
// Rows that were written before that time are in the list.
func (d *Discoverer) ReadAt() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.readAt
}

// update takes over the rows that were read at the version, by a read that began at the time.
func (d *Discoverer) update(records []storer.Record, readAt time.Time, version int64) (joined, left []string) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.readAt, d.readVersion, d.own = readAt, version, Row{}
	// Time during which the store could not be read does not count towards a
	// member's timeout: heartbeats probably could not be written either.
	gap := time.Duration(0)
	if !d.refreshedAt.IsZero() {
		gap = max(now.Sub(d.refreshedAt)-bookkeeperInterval, 0)
	}
	d.refreshedAt = now
	members, removed := make(map[string]*memberState, len(records)), map[string]*memberState{}
	isOwnContested := false
	for _, r := range records {
		var m Member
		if err := cbor.Unmarshal(r.Value, &m); err != nil || m.Instance != r.Name {
			continue // Only this system writes the table, so the row has an older format.
		}
		if m.Instance == d.self.Instance {
			d.own = Row{Member: m, Version: r.Version}
			isOwnContested = m.isContestedFor(d.self)
		}
		if m.IsRemoved {
			removed[r.Name] = d.removed[r.Name].replace(m, r.Version, now, gap)
			continue
		}
		if d.members[r.Name] == nil {
			joined = append(joined, r.Name)
		}
		members[r.Name] = d.members[r.Name].replace(m, r.Version, now, gap)
	}
	d.lockedRecordContest(isOwnContested)
	for name := range d.members {
		if members[name] == nil {
			left = append(left, name)
		}
	}
	d.members, d.removed, d.selected = members, removed, nil
	return joined, left
}

// Suspect excludes the instance from the live members for a short time. Callers use
// it after a failed call.
func (d *Discoverer) Suspect(instance string) {
	if instance == d.self.Instance {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.suspectedUntil[instance] = time.Now().Add(suspicionTimeout)
	d.selected = nil
}

// Count returns the number of live members, including this instance.
func (d *Discoverer) Count() int { return d.selection().live }

// otherLiveMembers returns the live members other than this instance, without
// suspects.
func (d *Discoverer) otherLiveMembers() []Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lockedLiveMembers()
}

func (d *Discoverer) lockedLiveMembers() []Member {
	now := time.Now()
	var members []Member
	for name, m := range d.members {
		if name != d.self.Instance && m.isLive(now) && now.After(d.suspectedUntil[name]) {
			members = append(members, m.Member)
		}
	}
	return members
}

// Bookkeepers returns the bookkeepers of the program in order of preference. All
// instances of all data centres select the same ones, so that a program has one
// ledger, also if its turns arrive in several data centres. There is at least one:
// this instance, if it knows no other.
func (d *Discoverer) Bookkeepers(program string) []Member {
	return ranked(program, d.selection().all)
}

// Recorders returns the bookkeepers that write the record of the turn, in order of
// preference. They are those of this instance's data centre, as records are large.
func (d *Discoverer) Recorders(turn string) []Member {
	return ranked(turn, d.selection().own)
}

func ranked(key string, members []Member) []Member {
	members = slices.Clone(members)
	sort.Slice(members, func(i, j int) bool { return score(key, members[i]) > score(key, members[j]) })
	return members
}

// selection returns the bookkeepers of all data centres: those with the highest
// scores of each.
func (d *Discoverer) selection() *selection {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.selected; s != nil && time.Since(s.at) < selectionMaxAge {
		return s
	}
	byDataCentre := map[string][]Member{}
	others := d.lockedLiveMembers()
	for _, m := range others {
		byDataCentre[m.DataCentre] = append(byDataCentre[m.DataCentre], m)
	}
	if !d.isDeregistered.Load() || len(byDataCentre[d.self.DataCentre]) == 0 {
		byDataCentre[d.self.DataCentre] = append(byDataCentre[d.self.DataCentre], d.self)
	}
	s := &selection{at: time.Now(), live: 1 + len(others)}
	for dataCentre, members := range byDataCentre {
		members = ranked("", members)[:bookkeepersAmong(len(members))]
		s.all = append(s.all, members...)
		if dataCentre == d.self.DataCentre {
			s.own = members
		}
	}
	// A deregistered instance, which retires, keeps no books for other data centres.
	if d.isDeregistered.Load() && len(s.all) > 1 {
		s.all = slices.DeleteFunc(s.all, func(m Member) bool { return m.Instance == d.self.Instance })
	}
	d.selected = s
	return s
}

// Ranking returns the n known members with the highest scores for the key, highest first. It
// leaves out members that have missed their heartbeats, but not suspects, so that instances
// agree on the order although each reaches others. While no other member is known, the seeds
// are in it.
func (d *Discoverer) Ranking(key string, n int) []Member {
	return d.ranking(key, n, (*memberState).isLive)
}

func (d *Discoverer) ranking(key string, n int, isMember func(*memberState, time.Time) bool) []Member {
	type scored struct {
		score  float64
		member *Member
	}
	const usualCount = 8
	best := make([]scored, 0, min(n, usualCount)+1)
	add := func(m *Member) {
		s := scored{score: score(key, *m), member: m}
		i, _ := slices.BinarySearchFunc(best, s, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
		best = slices.Insert(best, i, s)
		best = best[:min(len(best), n)]
	}
	if !d.isDeregistered.Load() {
		add(&d.self)
	}
	now, others := time.Now(), 0
	d.mu.Lock()
	for name, m := range d.members {
		if name != d.self.Instance && isMember(m, now) {
			add(&m.Member)
			others++
		}
	}
	d.mu.Unlock()
	if others == 0 {
		for _, m := range d.withoutSuspects(d.seeds) {
			add(&m)
		}
	}
	members := make([]Member, 0, len(best))
	for _, s := range best {
		members = append(members, *s.member)
	}
	return members
}

// IsCurrent reports whether this instance has written its heartbeats, so that the other
// instances have it in their lists.
func (d *Discoverer) IsCurrent() bool {
	last := d.lastHeartbeat.Load()
	return last != nil && !d.isDeregistered.Load() && elapsedSince(last.at) <= missedHeartbeats*max(last.interval, bookkeeperInterval)
}

// elapsedSince returns the time since a reading of the clock, also if the steady clock stood still
// while the machine was suspended.
func elapsedSince(at time.Time) time.Duration {
	now := time.Now()
	return max(now.Sub(at), now.Round(0).Sub(at.Round(0)))
}

func bookkeepersAmong(members int) int {
	return (members + membersPerBookkeeper - 1) / membersPerBookkeeper
}

// BookkeeperCount returns the number of bookkeepers in all data centres.
func (d *Discoverer) BookkeeperCount() int { return max(len(d.selection().all), 1) }

// FindIncarnation returns the live member with the incarnation.
func (d *Discoverer) FindIncarnation(incarnation string) (Member, bool) {
	for _, m := range d.otherLiveMembers() {
		if m.Incarnation == incarnation {
			return m, true
		}
	}
	return Member{}, false
}

// InstanceOf returns the instance of an incarnation; empty if it names none.
func InstanceOf(incarnation string) string {
	return incarnation[:max(strings.LastIndexByte(incarnation, '/'), 0)]
}

// HasEnded reports whether a read of the members that began after the time shows another
// process at the instance of the incarnation, which was in the list before that time. An
// instance has one process at a time.
func (d *Discoverer) HasEnded(incarnation string, after time.Time) bool {
	instance := InstanceOf(incarnation)
	if instance == "" || incarnation == d.self.Incarnation {
		return false
	}
	if instance == d.self.Instance {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.members[instance]
	return m != nil && m.Incarnation != "" && m.Incarnation != incarnation && d.readAt.After(after)
}

// ReplacedAt returns a store's time by which the process with the incarnation had ended: another
// one had started at its instance by then.
func (d *Discoverer) ReplacedAt(incarnation string) (time.Time, bool) {
	instance := InstanceOf(incarnation)
	if instance == "" || incarnation == d.self.Incarnation {
		return time.Time{}, false
	}
	startedAt := int64(0)
	if instance == d.self.Instance {
		startedAt = d.learnStart()
	} else {
		d.mu.Lock()
		defer d.mu.Unlock()
		if m := d.members[instance]; m != nil && m.Incarnation != incarnation {
			startedAt = m.StartedAt
		}
	}
	return time.UnixMilli(startedAt), startedAt != 0
}

// Relays returns other instances through which this one may access the store, in an
// order that differs between instances. While no member is known, these are the seeds.
func (d *Discoverer) Relays() []Member {
	members := d.otherLiveMembers()
	if len(members) == 0 {
		members = d.withoutSuspects(d.seeds)
	}
	sort.Slice(members, func(i, j int) bool {
		return score(d.self.Incarnation, members[i]) > score(d.self.Incarnation, members[j])
	})
	return members
}

func (d *Discoverer) withoutSuspects(members []Member) []Member {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return !now.After(d.suspectedUntil[m.Instance]) })
}

// Others returns the live members other than this instance, without suspects.
func (d *Discoverer) Others() []Member { return d.otherLiveMembers() }

// Self returns this instance.
func (d *Discoverer) Self() Member { return d.self }

// score returns the weighted rendezvous hash of the member for the key. A member with
// twice the cores of another has the higher score for twice as many keys.
func score(key string, m Member) float64 {
	var d xxhash.Digest
	d.Reset()
	// Digest.WriteString never returns an error.
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(m.Instance)
	hash := d.Sum64()
	unit := (float64(hash>>11) + 0.5) / (1 << 53)
	return -max(m.Cores, minCores) / math.Log(unit)
}
