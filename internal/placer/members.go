package placer

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonstand/wigeonstand/internal/forwarder"
	"github.com/wigeonstand/wigeonstand/internal/leaser"
	"github.com/wigeonstand/wigeonstand/internal/storer"
)

const scanPage = 500

// member is what is known of one instance with a lease row.
type member struct {
	row   storer.Row
	lease leaser.Lease
	// leaving is set once the platform's list says so.
	leaving bool
	// since is when the generation was seen first.
	since time.Time
	// changed is when the row was seen first as it is.
	changed time.Time
	beat    forwarder.Beat
	heard   time.Time
}

// Heard implements forwarder.Peers.
func (p *Placer) Heard(beat forwarder.Beat) forwarder.Beat {
	p.note(beat)
	return p.ownBeat()
}

func (p *Placer) ownBeat() forwarder.Beat {
	lease := p.lease.Lease()
	p.mu.Lock()
	defer p.mu.Unlock()
	return forwarder.Beat{
		Instance:        lease.Instance,
		Generation:      lease.Generation,
		Epoch:           p.shardMap.Epoch,
		DocumentVersion: p.document(),
		Ready:           !p.fenced && p.draining == nil && p.lease.Confirmed(),
		Load:            p.load(),
	}
}

// note keeps a beat that was heard.
func (p *Placer) note(beat forwarder.Beat) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if beat.Epoch > p.heard {
		p.heard = beat.Epoch
		p.wakeUp()
	}
	m, ok := p.members[beat.Instance]
	if !ok || beat.Generation < m.lease.Generation {
		return
	}
	m.beat = beat
	m.heard = time.Now()
}

// beat exchanges heartbeats with the instances that this one watches.
func (p *Placer) beat(ctx context.Context) {
	ticker := time.NewTicker(beatPeriod)
	defer ticker.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		for _, address := range p.watchedAddresses() {
			calls.Go(func() { p.beatOne(ctx, address) })
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (p *Placer) beatOne(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, beatPeriod)
	defer cancel()
	answer, err := p.peers.Heartbeat(ctx, address, p.ownBeat())
	if err == nil {
		p.note(answer)
	}
}

func (p *Placer) watchedAddresses() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var addresses []string
	for _, m := range p.watched() {
		addresses = append(addresses, m.lease.Address)
	}
	return addresses
}

// watched returns the members with a held lease that this instance watches.
func (p *Placer) watched() []*member {
	self := p.lease.Lease().Instance
	names := p.holders()
	var found []*member
	for _, name := range names {
		if name != self && rank(names, name, self) < watchers {
			found = append(found, p.members[name])
		}
	}
	return found
}

// holders returns the names of the members whose lease is held, in order.
func (p *Placer) holders() []string {
	var names []string
	for name, m := range p.members {
		if m.lease.State == leaser.Live || m.lease.State == leaser.Leaving {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// rank returns how many of the names, other than the subject, precede the
// candidate in the subject's order of preference.
func rank(names []string, subject, candidate string) int {
	own := score(subject, candidate)
	n := 0
	for _, name := range names {
		if name != subject && name != candidate && score(subject, name) > own {
			n++
		}
	}
	return n
}

func score(subject, candidate string) uint64 {
	return xxhash.Sum64String(subject + "\x00" + candidate)
}

// scanIfDue reads all lease rows and the platform's list.
func (p *Placer) scanIfDue(ctx context.Context) error {
	p.mu.Lock()
	due := time.Since(p.scanned) >= max(scanPeriod, time.Duration(len(p.members))*scanPerMember)
	p.mu.Unlock()
	if !due {
		return nil
	}
	started := time.Now()
	rows, err := scanAll(ctx, p.platform.Table, leaser.KeyPrefix)
	if err != nil {
		return err
	}
	// The list only adds which instances are leaving; it may be out of reach.
	listings, err := p.platform.Lister.Instances(ctx)
	p.adoptRows(rows, started)
	p.adoptList(listings)
	return err
}

func scanAll(ctx context.Context, table storer.Table, prefix string) ([]storer.Row, error) {
	var rows []storer.Row
	after := ""
	for {
		page, err := table.Scan(ctx, prefix, after, scanPage)
		if err != nil {
			return nil, err
		}
		rows = append(rows, page...)
		if len(page) < scanPage {
			return rows, nil
		}
		after = page[len(page)-1].Key
	}
}

func (p *Placer) adoptRows(rows []storer.Row, started time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	present := map[string]bool{}
	for _, row := range rows {
		present[p.adoptRow(row)] = true
	}
	for name := range p.members {
		if !present[name] {
			delete(p.members, name)
			p.observer.Forget(name)
		}
	}
	p.scanned = started
	p.instances(max(1, len(p.holders())))
}

// adoptRow keeps a lease row that was read and returns the instance's name.
func (p *Placer) adoptRow(row storer.Row) string {
	lease, err := leaser.Decode(row)
	if err != nil {
		p.log.Log(eventRowMalformed, "Key", row.Key, "Cause", err)
		return row.Key[len(leaser.KeyPrefix):]
	}
	p.observer.Observe(lease.Instance, row.Version)
	m, ok := p.members[lease.Instance]
	if ok && m.row.Version > row.Version {
		return lease.Instance
	}
	if !ok || m.lease.Generation != lease.Generation {
		m = &member{since: time.Now()}
		p.members[lease.Instance] = m
	}
	if m.row.Version != row.Version {
		m.changed = time.Now()
	}
	m.row = row
	m.lease = lease
	return lease.Instance
}

func (p *Placer) adoptList(listings []storer.Listing) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, listing := range listings {
		if m, ok := p.members[listing.Instance]; ok {
			m.leaving = listing.Leaving
		}
	}
}

// silent says that the member has not been heard for a while, or says itself
// that it cannot renew its lease.
func (p *Placer) silent(m *member) bool {
	return time.Since(m.heard) > p.silence || !m.beat.Ready
}

// watch reads the rows of watched members that are silent and takes away the
// leases that have lapsed.
func (p *Placer) watch(ctx context.Context) error {
	var keys []string
	p.mu.Lock()
	for _, m := range p.watched() {
		if p.silent(m) {
			keys = append(keys, m.row.Key)
		}
	}
	p.mu.Unlock()
	if len(keys) == 0 {
		return nil
	}
	rows, err := p.platform.Table.Read(storer.WithPriority(ctx, storer.PriorityLease), keys...)
	if err != nil {
		return err
	}
	var lapsed []storer.Row
	p.mu.Lock()
	for _, row := range rows {
		if row.Version == 0 {
			continue
		}
		name := p.adoptRow(row)
		m := p.members[name]
		if m != nil && p.silent(m) && p.observer.Expired(name, row.Version) {
			lapsed = append(lapsed, row)
		}
	}
	p.mu.Unlock()
	return p.takeAway(ctx, lapsed)
}

func (p *Placer) takeAway(ctx context.Context, rows []storer.Row) error {
	var failures []error
	taken := 0
	for _, row := range rows {
		err := p.lease.Fence(storer.WithPriority(ctx, storer.PriorityLease), row)
		switch {
		case err == nil:
			taken++
		case !errors.Is(err, storer.ErrConflict):
			failures = append(failures, fmt.Errorf("fence %s: %w", row.Key, err))
		}
	}
	if taken > 0 {
		p.mu.Lock()
		p.scanned = time.Time{}
		p.mu.Unlock()
		p.wakeUp()
	}
	return errors.Join(failures...)
}
