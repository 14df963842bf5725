package publisher

import (
	"slices"
	"sync"
)

// storeSource is the source of a version that can be read from the store only.
const storeSource = ""

// observedVersions records the newer versions that other instances have. It is
// safe for concurrent use.
type observedVersions struct {
	mu *sync.Mutex
	// versions is the highest version of each instance.
	versions map[string]int64
	// wake is signalled when a newer version is added; it buffers one signal.
	wake chan struct{}
}

func newObservedVersions() observedVersions {
	return observedVersions{mu: &sync.Mutex{}, versions: map[string]int64{}, wake: make(chan struct{}, 1)}
}

func (o *observedVersions) add(number int64, source string) {
	o.mu.Lock()
	known := o.versions[source]
	o.versions[source] = max(known, number)
	o.mu.Unlock()
	if number <= known {
		return
	}
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// highest returns the highest version observed, or zero if there is none.
func (o *observedVersions) highest() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	var highest int64
	for _, number := range o.versions {
		highest = max(highest, number)
	}
	return highest
}

// sourcesAbove returns the instances that have a version above the number, the
// highest version first.
func (o *observedVersions) sourcesAbove(number int64) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var sources []string
	for source, version := range o.versions {
		if version > number && source != storeSource {
			sources = append(sources, source)
		}
	}
	slices.SortFunc(sources, func(a, b string) int { return int(o.versions[b] - o.versions[a]) })
	return sources
}

// removeUpTo removes the versions up to and including the number.
func (o *observedVersions) removeUpTo(number int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for source, version := range o.versions {
		if version <= number {
			delete(o.versions, source)
		}
	}
}
