package registrar

import (
	"slices"
	"time"
)

const (
	// changeMaxAge is the age up to which bookkeepers are told of requests that began or
	// ended: that of the oldest report in use. If they were told of fewer, a receiver would
	// take its own requests off a sum that does not contain them.
	changeMaxAge = loadMaxAge
	// maxChanges bounds the changes that are kept for one endpoint.
	maxChanges = 256
	// maxTold bounds the number of instances for which it is kept what they were told.
	maxTold = 256
	// reportTolerance is how much older than the known report an answer's report may be. The
	// time in transit makes one and the same report look younger at each instance.
	reportTolerance = 50 * time.Millisecond
)

// change is a request that began or ended at an endpoint.
type change struct {
	at time.Time
	by int
	// number grows with each change of the instance's own.
	number uint64
}

// changes holds the requests that began or ended since the endpoint's load was reported.
// A report says nothing of the requests that instances send before it arrives; without
// them, all instances send to the endpoint that was the least loaded one.
type changes struct {
	// own are this instance's, told those that other instances told it as a bookkeeper, and
	// answered the sum of the others' that a bookkeeper knew.
	own, told []change
	answered  change
}

// trim drops the changes that are in the report or too old.
func (c *changes) trim(reportedAt, now time.Time) {
	oldest := now.Add(-loadMaxAge)
	if reportedAt.After(oldest) {
		oldest = reportedAt
	}
	isOld := func(one change) bool { return !one.at.After(oldest) }
	c.own, c.told = slices.DeleteFunc(c.own, isOld), slices.DeleteFunc(c.told, isOld)
	c.own, c.told = c.own[max(len(c.own)-maxChanges, 0):], c.told[max(len(c.told)-maxChanges, 0):]
	if isOld(c.answered) {
		c.answered = change{}
	}
}

// sum returns the change of the load since the report. A bookkeeper's answer counts at
// instances that are not told of changes themselves.
func (c *changes) sum() int {
	if len(c.told) == 0 {
		return sumOf(c.own) + c.answered.by
	}
	return sumOf(c.own) + sumOf(c.told)
}

func sumOf(list []change) int {
	sum := 0
	for _, one := range list {
		sum += one.by
	}
	return sum
}

// lockedRecordChange records that a request of this instance began or ended.
func (r *Registry) lockedRecordChange(e *entry, by int) {
	r.changeCount++
	now := time.Now()
	e.trim(e.reportedAt, now)
	e.own = append(e.own, change{at: now, by: by, number: r.changeCount})
}

// ObservationsFor returns the observations for the bookkeeper on the instance, with the
// changes that it was not told before.
func (r *Registry) ObservationsFor(instance string) []Observation {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := r.toldTo[instance]
	if len(r.toldTo) >= maxTold {
		clear(r.toldTo)
	}
	r.toldTo[instance] = r.changeCount
	return r.lockedObservations(func(e *entry, o *Observation, now time.Time) {
		for _, c := range e.own {
			if age := now.Sub(c.at); c.number > last && age <= changeMaxAge {
				// Zero has no sign, so that ages count from one.
				o.Changes = append(o.Changes, c.by*(int(age.Milliseconds())+1))
			}
		}
	})
}

// addSum adds the sum of the changes that this instance knows as a bookkeeper.
func addSum(e *entry, o *Observation, _ time.Time) {
	o.HasSum, o.Sum = true, sumOf(e.own)+sumOf(e.told)
}

// mergeChanges applies the changes that another instance sent, after its report has been merged.
func (c *changes) mergeChanges(o Observation, reportedAt, now time.Time) {
	c.trim(reportedAt, now)
	for _, one := range o.Changes {
		by, age := 1, one
		if one < 0 {
			by, age = -1, -one
		}
		at := now.Add(-time.Duration(age-1) * time.Millisecond)
		if age >= 1 && at.After(reportedAt) && now.Sub(at) <= loadMaxAge && len(c.told) < maxChanges {
			c.told = append(c.told, change{at: at, by: by})
		}
	}
	if o.HasSum && now.Add(-o.Age).After(reportedAt.Add(-reportTolerance)) {
		c.answered = change{at: now, by: o.Sum - sumOf(c.own)}
	}
}
