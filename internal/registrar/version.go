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

// RecordRead records that the registrations are those of a read of the store that began at
// the time. HasMissed states that registrations may have come and gone since the read before, as
// this instance could not read them for a while: versions that it does not know may have begun
// streams.
func (r *Registry) RecordRead(startedAt time.Time, hasMissed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if hasMissed {
		r.readAt, r.hasAllVersions = startedAt, false
	}
	if startedAt.After(r.confirmedAt) {
		r.confirmedAt = startedAt
	}
}

// IsReadSince reports whether the registrations are those of a read that began after the time.
func (r *Registry) IsReadSince(t time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.confirmedAt.After(t)
}

// SeenVersion is a software version of a service of which endpoints were registered lately.
type SeenVersion struct {
	Service string `cbor:"1,keyasint"`
	Version string `cbor:"2,keyasint"`
	// Age is the time since the last of them was registered.
	Age time.Duration `cbor:"3,keyasint"`
}

// SeenVersions returns the versions that may have begun a stream that can still be resumed. They
// are complete if this instance has read the registrations for that long, or has the list of
// an instance that had.
func (r *Registry) SeenVersions() (seen []SeenVersion, isComplete bool) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for v, at := range r.versionSeen {
		if age := now.Sub(at); age <= versionMemory {
			seen = append(seen, SeenVersion{Service: v.service, Version: v.version, Age: age})
		}
	}
	for _, e := range r.byID {
		seen = append(seen, SeenVersion{Service: e.Service, Version: e.Version})
	}
	return seen, r.lockedHasAllVersions(now)
}

// MergeVersions adds the complete list of another instance to the versions seen. It reports
// whether the list is complete then, which takes that this instance has read the registrations.
func (r *Registry) MergeVersions(seen []SeenVersion) bool {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.readAt.IsZero() {
		return false
	}
	for _, s := range seen {
		v, at := serviceVersion{s.Service, s.Version}, now.Add(-max(s.Age, 0))
		if at.After(r.versionSeen[v]) {
			r.versionSeen[v] = at
		}
	}
	r.hasAllVersions = true
	return true
}

// ExpectNoStreams states that no stream was begun before this instance started.
func (r *Registry) ExpectNoStreams() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hasAllVersions = true
}

func (r *Registry) lockedHasAllVersions(now time.Time) bool {
	return !r.readAt.IsZero() && (r.hasAllVersions || now.Sub(r.readAt) > versionMemory)
}

// OnlyVersion returns the software version of the service's endpoints if all those that
// were registered lately have the same. It is certain if SeenVersions is complete, and no other
// version was registered before the given time.
func (r *Registry) OnlyVersion(service string, until time.Time) (version string, isOnly, isCertain bool) {
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
	return versions[0], true, r.lockedHasAllVersions(now) && !r.confirmedAt.Before(until)
}
