package prober

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonstand/wigeonstand/internal/compiler"
)

// applyVersion removes endpoints that are no longer in the document and adds new
// ones, which are ramped up unless the version is the first. It ignores a
// version that is not newer than the one applied last.
func (p *Prober) applyVersion(version *compiler.Version, now time.Time) {
	if version == nil || (p.version != nil && version.Number <= p.version.Number) {
		return
	}
	first := p.version == nil
	p.version = version
	for name := range p.endpoints {
		if version.Endpoints[name] == nil {
			delete(p.endpoints, name)
		}
	}
	for name, config := range version.Endpoints {
		p.applyEndpoint(name, config, now, first)
	}
	p.sorted = slices.SortedFunc(maps.Values(p.endpoints), func(a, b *endpoint) int {
		return cmp.Compare(a.config.Name, b.config.Name)
	})
	p.sample()
}

func (p *Prober) applyEndpoint(name string, config *compiler.Endpoint, now time.Time, first bool) {
	e := p.endpoints[name]
	if e == nil || e.config.Address != config.Address {
		e = &endpoint{nextProbe: now}
		if !first {
			e.rampFrom = now
		}
		p.endpoints[name] = e
	} else if e.config.Leaving && !config.Leaving {
		e.rampFrom = now
	}
	if config.Leaving && (e.config == nil || !e.config.Leaving) {
		p.log.Log(endpointLeaving, "Endpoint", name, "Sign", "Document")
	}
	e.config = config
	e.group = groupOf(config)
}

// groupOf names the group of equivalent endpoints that the endpoint belongs to:
// those of the same service, or with the same models.
func groupOf(config *compiler.Endpoint) string {
	if config.Service != "" {
		return "Service " + config.Service
	}
	models := slices.Sorted(slices.Values(config.Models))
	return "Models " + strings.Join(models, ",")
}

// sample selects the endpoints that are probed while they are not in use.
// Instances rank the endpoints differently, so that together they cover all.
func (p *Prober) sample() {
	ranked := slices.Clone(p.sorted)
	for _, e := range ranked {
		e.sampleRank = xxhash.Sum64String(p.instance + "\x00" + e.config.Name)
	}
	slices.SortStableFunc(ranked, func(a, b *endpoint) int { return cmp.Compare(a.sampleRank, b.sampleRank) })
	groups := map[string]*quota{}
	for _, e := range ranked {
		q := groups[e.group]
		if q == nil {
			q = &quota{}
			groups[e.group] = q
		}
		q.add(e.config.DataCentre == p.dataCentre)
	}
	for _, q := range groups {
		q.limit(p.localSample, p.remoteSample)
	}
	for _, e := range ranked {
		e.sampled = groups[e.group].take(e.config.DataCentre == p.dataCentre)
	}
}

// quota is how many endpoints of a group are sampled, inside and outside the
// instance's data centre.
type quota struct {
	local  int
	remote int
}

func (q *quota) add(local bool) {
	if local {
		q.local++
	} else {
		q.remote++
	}
}

// limit applies the limits to the counts. The unused part of one limit is added
// to the other, so that small groups are sampled completely.
func (q *quota) limit(localLimit, remoteLimit int) {
	freeLocal := max(0, localLimit-q.local)
	freeRemote := max(0, remoteLimit-q.remote)
	q.local = min(q.local, localLimit+freeRemote)
	q.remote = min(q.remote, remoteLimit+freeLocal)
}

// take decrements one of the counts and reports whether it was above zero.
func (q *quota) take(local bool) bool {
	left := &q.remote
	if local {
		left = &q.local
	}
	*left--
	return *left >= 0
}

// due returns the endpoints whose probes are due, the longest overdue first, so
// that urgent probes of failing endpoints do not starve the others.
func (p *Prober) due(now time.Time) []*endpoint {
	var due []*endpoint
	for _, e := range p.sorted {
		if e.isDue(now) {
			due = append(due, e)
		}
	}
	slices.SortStableFunc(due, func(a, b *endpoint) int { return a.nextProbe.Compare(b.nextProbe) })
	return due
}

func (e *endpoint) isDue(now time.Time) bool {
	if e.isProbing || now.Before(e.nextProbe) {
		return false
	}
	return e.urgent || e.sampled || e.inUse(now) || e.ejected || e.leaving
}
