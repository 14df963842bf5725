package soaker

import (
	"slices"
	"sync"
	"time"
)

// settleAfter is how long a disturbance has effects after its end.
const settleAfter = 3 * time.Second

// storeSubject stands for the store in a history.
const storeSubject = "store"

// disturbance is a fault of some subjects: instances and endpoints by their names, and the store.
type disturbance struct {
	subjects   []string
	begin, end time.Time
}

// history holds the unplanned disturbances of a run.
type history struct {
	mu   sync.Mutex
	past []*disturbance
}

// begin records that a disturbance begins. It returns a function that records its end.
func (h *history) begin(subjects ...string) (end func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	d := &disturbance{subjects: subjects, begin: time.Now()}
	h.past = append(h.past, d)
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		d.end = time.Now()
	}
}

// isCalm reports whether no subject was disturbed from settleAfter before from until to.
func (h *history) isCalm(from, to time.Time, subjects ...string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !slices.ContainsFunc(h.past, func(d *disturbance) bool {
		isOver := !d.end.IsZero() && d.end.Add(settleAfter).Before(from)
		return !isOver && d.begin.Before(to) &&
			slices.ContainsFunc(subjects, func(subject string) bool { return slices.Contains(d.subjects, subject) })
	})
}
