package registrar

import (
	"slices"
	"time"
)

// versionMemory is how long a version counts as one that may have begun a stream after the
// last endpoint with it is gone: longer than callers take to resume a stream.
const versionMemory = 30 * time.Second

// serviceVersion is a software version of the endpoints of a service.
type serviceVersion struct{ service, version string }

// lockedRecordVersions records the versions of the registered endpoints as seen now.
func (r *Registry) lockedRecordVersions(endpoints []Endpoint, now time.Time) {
	if r.readAt.IsZero() {
		r.readAt = now
	}
	// Endpoints that were registered until now may have begun a stream until now.
	for _, e := range r.byID {
		r.versionSeen[serviceVersion{e.Service, e.Version}] = now
	}
	for _, e := range endpoints {
		r.versionSeen[serviceVersion{e.Service, e.Version}] = now
	}
	for v, seen := range r.versionSeen {
		if now.Sub(seen) > versionMemory {
			delete(r.versionSeen, v)
		}
	}
}

// OnlyVersion returns the software version of the service's endpoints if all those that
// were registered lately have the same. It is certain if this instance has read the
// registrations for as long as a stream may be resumed.
func (r *Registry) OnlyVersion(service string) (version string, isOnly, isCertain bool) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var versions []string
	for v, seen := range r.versionSeen {
		if v.service == service && now.Sub(seen) <= versionMemory {
			versions = append(versions, v.version)
		}
	}
	for _, e := range r.services[service] {
		versions = append(versions, e.Version)
	}
	slices.Sort(versions)
	versions = slices.Compact(versions)
	if len(versions) != 1 {
		return "", false, false
	}
	return versions[0], true, now.Sub(r.readAt) > versionMemory
}
