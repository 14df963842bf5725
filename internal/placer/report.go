package placer

import (
	"sort"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/leaser"
)

// Member is what this instance knows of one instance.
type Member struct {
	Lease leaser.Lease
	// DocumentVersion is the newest that the instance told of.
	DocumentVersion int64
	// SinceHeartbeat is the time since its last heartbeat; negative if none was heard.
	SinceHeartbeat time.Duration
	// Leaving is set by the platform's list or by the instance itself.
	Leaving bool
}

// Members returns the instances that hold a lease, this one included, by name.
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
