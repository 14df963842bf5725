package placer

import (
	"sort"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/leaser"
)

// Member describes an instance that holds a lease, as known to this instance.
type Member struct {
	Lease leaser.Lease
	// DocumentVersion is the newest document version that the instance has reported.
	DocumentVersion int64
	// SinceHeartbeat is the time since the last heartbeat, 0 for this instance and
	// negative if none was received.
	SinceHeartbeat time.Duration
	// Leaving is true if the platform lists the instance as leaving, if its lease says
	// so, or if this instance is draining.
	Leaving bool
}

// Members returns the instances that hold a lease, including this one, sorted by name.
func (p *Placer) Members() []Member {
	own := p.lease.Lease()
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	members := []Member{{
		Lease: own, DocumentVersion: p.documentVersion(), Leaving: p.drainContext != nil,
	}}
	for name, m := range p.members {
		if name == own.Instance || (m.lease.State != leaser.Live && m.lease.State != leaser.Leaving) {
			continue
		}
		members = append(members, m.report(now))
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Lease.Instance < members[j].Lease.Instance })
	return members
}

func (m *member) report(now time.Time) Member {
	r := Member{
		Lease: m.lease, SinceHeartbeat: -1, Leaving: m.leaving || m.lease.State == leaser.Leaving,
		DocumentVersion: max(m.lease.DocumentVersion, m.heartbeat.DocumentVersion),
	}
	if !m.lastHeartbeat.IsZero() {
		r.SinceHeartbeat = now.Sub(m.lastHeartbeat)
	}
	return r
}
