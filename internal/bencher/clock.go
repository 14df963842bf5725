package bencher

import (
	"container/heap"
	"time"
)

// epoch is the time at which every run starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// clock runs functions in the order of their virtual times. Functions of the
// same time run in the order in which they were set.
type clock struct {
	now    time.Time
	timers timers
	number uint64
}

type timer struct {
	at     time.Time
	number uint64
	run    func()
}

func newClock() *clock { return &clock{now: epoch} }

// after sets a function to run when the duration has passed.
func (c *clock) after(d time.Duration, run func()) {
	c.number++
	heap.Push(&c.timers, timer{at: c.now.Add(max(d, 0)), number: c.number, run: run})
}

// step runs the next function and says whether there was one.
func (c *clock) step() bool {
	if len(c.timers) == 0 {
		return false
	}
	next := heap.Pop(&c.timers).(timer)
	c.now = next.at
	next.run()
	return true
}

// elapsed returns the virtual time since the start.
func (c *clock) elapsed() time.Duration { return c.now.Sub(epoch) }

// timers implements heap.Interface.
type timers []timer

func (t timers) Len() int { return len(t) }

func (t timers) Less(i, j int) bool {
	if !t[i].at.Equal(t[j].at) {
		return t[i].at.Before(t[j].at)
	}
	return t[i].number < t[j].number
}

func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	(*t)[last] = timer{}
	*t = (*t)[:last]
	return x
}
