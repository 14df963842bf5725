package publisher

import (
	"slices"
	"sync"
)

// fromStore is the source of an offer that the store alone can fulfil.
const fromStore = ""

// offers holds what other instances said of newer versions.
type offers struct {
	mu *sync.Mutex
	// versions is the highest version offered by each instance.
	versions map[string]int64
	// wake has room for one signal.
	wake chan struct{}
}

func newOffers() offers {
	return offers{mu: &sync.Mutex{}, versions: map[string]int64{}, wake: make(chan struct{}, 1)}
}

func (o *offers) add(number int64, source string) {
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

// highest returns the highest version offered, zero for none.
func (o *offers) highest() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	var highest int64
	for _, number := range o.versions {
		highest = max(highest, number)
	}
	return highest
}

// above returns the instances that offered a version above the number, those
// with the highest first.
func (o *offers) above(number int64) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var sources []string
	for source, offered := range o.versions {
		if offered > number && source != fromStore {
			sources = append(sources, source)
		}
	}
	slices.SortFunc(sources, func(a, b string) int { return int(o.versions[b] - o.versions[a]) })
	return sources
}

// settle forgets offers up to the number.
func (o *offers) settle(number int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for source, offered := range o.versions {
		if offered <= number {
			delete(o.versions, source)
		}
	}
}
