package soaker

import (
	"context"
	"sync"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/fakeplatform"
)

// The times of losses. The first one is warmUp after the start of the callers, or later. Instances that come back
// do so from shortestDown to longestDown after a loss.
const (
	mostLosses   = 2
	warmUp       = 3 * time.Second
	shortestDown = 500 * time.Millisecond
	longestDown  = 3 * time.Second
	// storeLead is for how long, at most, the store is slow before a loss, and storeTail after the return.
	storeLead = 2 * time.Second
	storeTail = 5 * time.Second
	// addLead is how long before a loss, at most, an instance is added, and addDelay how long after it.
	addLead  = 2 * time.Second
	addDelay = 5 * time.Second
	// nextLoss is the longest time from a return to a loss that does not wait for the recovery.
	nextLoss = 6 * time.Second
)

const (
	// fewestInstances is the number with which a day of losses begins at least, and fewestPresent the
	// number of those that come back.
	fewestInstances = 5
	fewestPresent   = 2
)

// outage is a time without instances, from the loss of all until the last process has started again.
type outage struct{ began, back time.Time }

// loss is a loss of all instances, drawn ahead.
type loss struct {
	away []*instance
	// down holds the time until each instance that comes back starts again.
	down map[*instance]time.Duration
	// lead and tail are for how long the store is slow before and after the loss; zero if it is not.
	lead, tail time.Duration
	// addBefore and addAfter are how long before and after the loss an instance is added; zero for none.
	addBefore, addAfter time.Duration
	// next is the time from the return to the next loss, or the end of the day.
	next time.Duration
}

// playLosses plays a day of losses of all instances, after each of which some stay away for good.
func (s *soak) playLosses(ctx context.Context) {
	sleep(ctx, warmUp+s.drawTime(nextLoss))
	for left := 1 + s.random.IntN(mostLosses); left > 0 && ctx.Err() == nil; left-- {
		s.changes.Wait() // An instance that is added after the loss before is lost, too.
		s.lose(ctx, s.drawLoss(left == 1))
	}
}

func (s *soak) drawTime(most time.Duration) time.Duration {
	return 1 + time.Duration(s.random.Int64N(int64(most)))
}

// drawLoss draws a loss. The last one of the day is followed by the time in which service returns.
func (s *soak) drawLoss(isLast bool) loss {
	present := s.present()
	s.random.Shuffle(len(present), func(i, k int) { present[i], present[k] = present[k], present[i] })
	count := [...]int{1, 3, max(1, len(present)/10)}[s.random.IntN(3)]
	count = max(0, min(count, len(present)-fewestPresent))
	l := loss{away: present[:count], down: map[*instance]time.Duration{}, next: recoveryTime + recoveredTime}
	for _, in := range present[count:] {
		l.down[in] = shortestDown + s.drawTime(longestDown-shortestDown)
	}
	if s.random.IntN(2) == 0 {
		l.lead, l.tail = s.drawTime(storeLead), s.drawTime(storeTail)
	}
	switch s.random.IntN(3) {
	case 0:
		l.addBefore = s.drawTime(addLead)
	case 1:
		l.addAfter = s.drawTime(addDelay)
	}
	if !isLast && s.random.IntN(2) == 0 {
		l.next = s.drawTime(nextLoss)
	}
	return l
}

// lose plays a loss and the time after it.
func (s *soak) lose(ctx context.Context, l loss) {
	s.count(s.report.Faults, "loss of all instances")
	endSlowness := s.slowStore(ctx, l.lead)
	if l.addBefore > 0 {
		s.count(s.report.Faults, "instance added before a loss")
		l.down[s.add()] = shortestDown
		sleep(ctx, l.addBefore)
	}
	names := s.instanceNames()
	isOver := s.history.begin(names...)
	o := outage{began: time.Now()}
	s.each(func(in *instance) { in.kill() })
	s.log("all instances are lost within %v: %v", time.Since(o.began), names)
	s.leave(l.away)
	back := s.present()
	if l.addAfter > 0 {
		s.count(s.report.Faults, "instance added after a loss")
		s.changes.Go(func() {
			sleep(ctx, l.addAfter)
			s.add()
		})
	}
	s.restartAfter(ctx, back, l.down)
	o.back = time.Now()
	s.outages = append(s.outages, o)
	isOver()
	s.log("%d instances are back", len(back))
	sleep(ctx, min(l.tail, l.next))
	endSlowness()
	sleep(ctx, time.Until(o.back.Add(l.next)))
}

// slowStore lets the store be slow for the time, unless that is zero, and until the returned function is called.
func (s *soak) slowStore(ctx context.Context, lead time.Duration) (end func()) {
	if lead == 0 {
		return nothing
	}
	s.count(s.report.Faults, "loss while the store is slow")
	s.log("store slow begins")
	isOver := s.history.begin(storeSubject)
	s.rows.SetFaults(fakeplatform.RowFaults{Delay: storeDelay})
	sleep(ctx, lead)
	return func() {
		s.rows.SetFaults(fakeplatform.RowFaults{})
		isOver()
		s.log("store slow is over")
	}
}

// leave marks instances that stay away. Their rows stay in the store.
func (s *soak) leave(away []*instance) {
	for _, in := range away {
		s.count(s.report.Faults, "instance stays away")
		s.log("%s stays away", in.name)
		s.mu.Lock()
		in.away = true
		s.mu.Unlock()
	}
}

// restartAfter starts each instance again after its time.
func (s *soak) restartAfter(ctx context.Context, back []*instance, down map[*instance]time.Duration) {
	var starts sync.WaitGroup
	for _, in := range back {
		starts.Go(func() {
			sleep(ctx, down[in])
			s.restart(in)
		})
	}
	starts.Wait()
}

// add adds an instance with a new name.
func (s *soak) add() *instance {
	s.mu.Lock()
	i := len(s.instances)
	s.mu.Unlock()
	if err := s.addInstance(s.lifetime, i); err != nil {
		s.violate("an instance cannot be added: %v", err)
	}
	s.log("an instance is added: entry-%d", i)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.instances[len(s.instances)-1]
}
