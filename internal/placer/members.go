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

// scanPageSize is the number of rows per page of a scan.
const scanPageSize = 500

// member is the local view of an instance that has a lease row.
type member struct {
	row   storer.Row
	lease leaser.Lease
	// leaving is true if the platform lists the instance as leaving.
	leaving bool
	// joined is when the generation was first read.
	joined time.Time
	// rowChanged is when the current version of the row was first read.
	rowChanged time.Time
	// heartbeat is the last heartbeat received, at the time lastHeartbeat.
	heartbeat     forwarder.Heartbeat
	lastHeartbeat time.Time
}

// HandleHeartbeat implements forwarder.HeartbeatHandler.
func (p *Placer) HandleHeartbeat(beat forwarder.Heartbeat) forwarder.Heartbeat {
	p.recordHeartbeat(beat)
	return p.localHeartbeat()
}

func (p *Placer) localHeartbeat() forwarder.Heartbeat {
	lease := p.lease.Lease()
	p.mu.Lock()
	defer p.mu.Unlock()
	return forwarder.Heartbeat{
		Instance:        lease.Instance,
		Generation:      lease.Generation,
		Epoch:           p.shardMap.Epoch,
		DocumentVersion: p.documentVersion(),
		Ready:           !p.fenced && p.drainContext == nil && p.lease.Confirmed(),
		Load:            p.load(),
	}
}

// recordHeartbeat records a received heartbeat. A newer epoch than the latest known
// starts a round, which refreshes the shard map.
func (p *Placer) recordHeartbeat(beat forwarder.Heartbeat) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if beat.Epoch > p.latestEpoch {
		p.latestEpoch = beat.Epoch
		p.signal()
	}
	m, ok := p.members[beat.Instance]
	if !ok || beat.Generation < m.lease.Generation {
		return
	}
	m.heartbeat = beat
	m.lastHeartbeat = time.Now()
}

// sendHeartbeats exchanges heartbeats with the watched members until ctx is done.
func (p *Placer) sendHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		for _, address := range p.watchedAddresses() {
			calls.Go(func() { p.sendHeartbeat(ctx, address) })
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (p *Placer) sendHeartbeat(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatInterval)
	defer cancel()
	response, err := p.peers.Heartbeat(ctx, address, p.localHeartbeat())
	if err == nil {
		p.recordHeartbeat(response)
	}
}

func (p *Placer) watchedAddresses() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var addresses []string
	for _, m := range p.watchedMembers() {
		addresses = append(addresses, m.lease.Address)
	}
	return addresses
}

// watchedMembers returns the lease holders that this instance watches.
func (p *Placer) watchedMembers() []*member {
	self := p.lease.Lease().Instance
	names := p.leaseHolders()
	var found []*member
	for _, name := range names {
		if name != self && rank(names, name, self) < watcherCount {
			found = append(found, p.members[name])
		}
	}
	return found
}

// leaseHolders returns the sorted names of the members that hold a lease.
func (p *Placer) leaseHolders() []string {
	var names []string
	for name, m := range p.members {
		if m.lease.State == leaser.Live || m.lease.State == leaser.Leaving {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// rank returns the number of names, other than the subject, that have a higher score
// for the subject than the candidate.
func rank(names []string, subject, candidate string) int {
	candidateScore := score(subject, candidate)
	n := 0
	for _, name := range names {
		if name != subject && name != candidate && score(subject, name) > candidateScore {
			n++
		}
	}
	return n
}

func score(subject, candidate string) uint64 {
	return xxhash.Sum64String(subject + "\x00" + candidate)
}

// scanIfDue reads all lease rows and the platform's list of instances. The interval
// grows with the number of members, which bounds the load on the store.
func (p *Placer) scanIfDue(ctx context.Context) error {
	p.mu.Lock()
	due := time.Since(p.lastScan) >= max(minScanInterval, time.Duration(len(p.members))*scanIntervalPerMember)
	p.mu.Unlock()
	if !due {
		return nil
	}
	started := time.Now()
	rows, err := scanAll(ctx, p.platform.Table, leaser.KeyPrefix)
	if err != nil {
		return err
	}
	// The list only adds which instances are leaving, so the rows are applied even if
	// it could not be read.
	listings, err := p.platform.Lister.Instances(ctx)
	p.applyLeaseRows(rows, started)
	p.applyListings(listings)
	return err
}

func scanAll(ctx context.Context, table storer.Table, prefix string) ([]storer.Row, error) {
	var rows []storer.Row
	after := ""
	for {
		page, err := table.Scan(ctx, prefix, after, scanPageSize)
		if err != nil {
			return nil, err
		}
		rows = append(rows, page...)
		if len(page) < scanPageSize {
			return rows, nil
		}
		after = page[len(page)-1].Key
	}
}

func (p *Placer) applyLeaseRows(rows []storer.Row, started time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	present := map[string]bool{}
	for _, row := range rows {
		present[p.applyLeaseRow(row)] = true
	}
	for name := range p.members {
		if !present[name] {
			delete(p.members, name)
			p.observer.Forget(name)
		}
	}
	p.lastScan = started
	p.reportInstanceCount(max(1, len(p.leaseHolders())))
}

// applyLeaseRow updates the member from its lease row and returns its name. A row
// older than the one known is ignored.
func (p *Placer) applyLeaseRow(row storer.Row) string {
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
		m = &member{joined: time.Now()}
		p.members[lease.Instance] = m
	}
	if m.row.Version != row.Version {
		m.rowChanged = time.Now()
	}
	m.row = row
	m.lease = lease
	return lease.Instance
}

func (p *Placer) applyListings(listings []storer.Listing) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, listing := range listings {
		if m, ok := p.members[listing.Instance]; ok {
			m.leaving = listing.Leaving
		}
	}
}

// isSuspect reports whether no heartbeat of the member was received within the
// heartbeat timeout, or its last heartbeat said that it is not ready.
func (p *Placer) isSuspect(m *member) bool {
	return time.Since(m.lastHeartbeat) > p.heartbeatTimeout || !m.heartbeat.Ready
}

// fenceExpired reads the lease rows of suspect watched members and fences those whose
// lease has expired.
func (p *Placer) fenceExpired(ctx context.Context) error {
	var keys []string
	p.mu.Lock()
	for _, m := range p.watchedMembers() {
		if p.isSuspect(m) {
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
	var expired []storer.Row
	p.mu.Lock()
	for _, row := range rows {
		if row.Version == 0 {
			continue
		}
		name := p.applyLeaseRow(row)
		m := p.members[name]
		if m != nil && p.isSuspect(m) && p.observer.Expired(name, row.Version) {
			expired = append(expired, row)
		}
	}
	p.mu.Unlock()
	return p.fenceAll(ctx, expired)
}

func (p *Placer) fenceAll(ctx context.Context, rows []storer.Row) error {
	var failures []error
	fenced := 0
	for _, row := range rows {
		err := p.lease.Fence(storer.WithPriority(ctx, storer.PriorityLease), row)
		switch {
		case err == nil:
			fenced++
		case !errors.Is(err, storer.ErrConflict):
			failures = append(failures, fmt.Errorf("fence %s: %w", row.Key, err))
		}
	}
	if fenced > 0 {
		p.mu.Lock()
		p.lastScan = time.Time{}
		p.mu.Unlock()
		p.signal()
	}
	return errors.Join(failures...)
}
