package allotter

import "time"

// bucketCount is the number of buckets of a window. A bucket counts until all of its time has
// left the window, so counts are kept for up to 1/bucketCount of the window longer.
const bucketCount = 256

// window counts events in a sliding window of time. Times are those since a fixed moment.
type window struct {
	// width is the time of one bucket.
	width time.Duration
	// counts is a ring; head is the number of the bucket of the latest time.
	counts [bucketCount + 1]int32
	head   int64
	total  int
}

func newWindow(length time.Duration) window {
	return window{width: max(length/bucketCount, 1)}
}

// advance removes the buckets that have left the window.
func (w *window) advance(now time.Duration) {
	head := int64(now / w.width)
	if head <= w.head {
		return
	}
	if head-w.head >= int64(len(w.counts)) {
		w.counts, w.total, w.head = [bucketCount + 1]int32{}, 0, head
		return
	}
	for w.head < head {
		w.head++
		slot := &w.counts[w.head%int64(len(w.counts))]
		w.total -= int(*slot)
		*slot = 0
	}
}

// count returns the number of events in the window that ends now.
func (w *window) count(now time.Duration) int {
	w.advance(now)
	return w.total
}

// add adds n events at the current time.
func (w *window) add(now time.Duration, n int) {
	w.advance(now)
	w.counts[w.head%int64(len(w.counts))] += int32(n)
	w.total += n
}

// timeUntil returns how long it takes until at least n of the events have left the window.
func (w *window) timeUntil(now time.Duration, n int) time.Duration {
	w.advance(now)
	if n <= 0 {
		return 0
	}
	for i := int64(1); i <= int64(len(w.counts)); i++ {
		n -= int(w.counts[(w.head+i)%int64(len(w.counts))])
		if n <= 0 {
			return time.Duration(w.head+i)*w.width - now
		}
	}
	return time.Duration(len(w.counts)) * w.width
}
