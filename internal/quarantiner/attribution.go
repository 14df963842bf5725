package quarantiner

import (
	"bytes"
	"slices"
	"time"
)

const (
	// minCrashes is the number of crashes, one after the other, from which a request is
	// taken for their cause.
	minCrashes = 3
	// minBodies is the number of requests with different bodies in the crashes of a target
	// from which all requests to the target are taken for the cause, and minFewBodies that
	// for targets with more than minCrashes crashes. The same work may come in many forms:
	// a turn continues a transcript, or each of its callers repeats another one.
	minBodies    = 3
	minFewBodies = 2
)

// sending is the last send of a request to a process.
type sending struct {
	at time.Time
	// target is the key of the request's target.
	target Key
}

// crash is the end of an endpoint's process.
type crash struct {
	at time.Time
	// sent holds the requests that the process had.
	sent map[Key]sending
}

// suspicion is what the known crashes say of a request.
type suspicion struct {
	// crashes is the number of crashes, one after the other, that may be due to it.
	crashes int
	// isCause is true if it is taken for their cause, and lastAt the time of the last one.
	isCause bool
	lastAt  time.Time
	// isTarget is true for a target.
	isTarget bool
}

// attribute returns the suspicion against each request that a process had when it ended, and
// against their targets.
//
// Each crash hits all requests of the process, so that the number of crashes alone doesn't
// tell the cause from its neighbours. Crashes before a request was last served don't count
// against it, nor do those that have another cause. Of several runs at the same time only
// one counts: endpoints that end at the same moment, for a reason of their own, end under the
// requests that are sent most. Between two requests that were together in most of these
// crashes nothing is decided until one of them has more than the other.
//
// The known causes, requests and targets, explain their crashes before others do: what was
// found must not change with each further crash.
func attribute(crashes []crash, served map[Key]time.Time, known map[Key]bool) map[Key]suspicion {
	out := map[Key]suspicion{}
	all := slices.Clone(crashes)
	slices.SortFunc(all, func(a, b crash) int { return a.at.Compare(b.at) })
	unexplained := slices.DeleteFunc(slices.Clone(all), func(c crash) bool { return c.hasAny(known) })
	for {
		counts := count(unexplained, served)
		cause, isFound := findCause(unexplained, counts)
		if !isFound {
			for key, s := range counts {
				if _, isDecided := out[key]; !isDecided {
					out[key] = s
				}
			}
			break
		}
		s := counts[cause]
		s.isCause = true
		out[cause] = s
		unexplained = slices.DeleteFunc(slices.Clone(unexplained), func(c crash) bool { return c.has(cause) })
	}
	for key, s := range count(all, served) {
		if known[key] {
			s.isCause = true
			out[key] = s
		}
	}
	for target, s := range attributeTargets(all, out, served, known) {
		out[target] = s
	}
	return out
}

// attributeTargets returns the suspicion against each target. Crashes with a cause count
// against its target only.
func attributeTargets(crashes []crash, requests map[Key]suspicion, served map[Key]time.Time, known map[Key]bool) map[Key]suspicion {
	bodies := map[Key]map[Key]bool{}
	var byTarget []crash
	for _, c := range crashes {
		causes := map[Key]bool{}
		for key, sent := range c.sent {
			if requests[key].isCause || known[sent.target] {
				causes[sent.target] = true
			}
		}
		targets := crash{at: c.at, sent: map[Key]sending{}}
		for key, sent := range c.sent {
			if (len(causes) > 0 && !causes[sent.target]) || !c.at.After(served[sent.target]) {
				continue
			}
			if sent.at.After(targets.sent[sent.target].at) {
				targets.sent[sent.target] = sent
			}
			if bodies[sent.target] == nil {
				bodies[sent.target] = map[Key]bool{}
			}
			bodies[sent.target][key] = true
		}
		byTarget = append(byTarget, targets)
	}
	counts := count(byTarget, served)
	for target, s := range counts {
		isEnough := s.crashes >= minCrashes && len(bodies[target]) >= minBodies ||
			s.crashes > minCrashes && len(bodies[target]) >= minFewBodies
		s.isTarget = true
		s.isCause = known[target] || (isEnough && !isAmbiguous(target, byTarget, counts))
		counts[target] = s
	}
	return counts
}

func (c crash) has(key Key) bool {
	_, has := c.sent[key]
	return has
}

// hasAny reports whether the process had one of the requests, or one to one of the targets.
func (c crash) hasAny(keys map[Key]bool) bool {
	for key, sent := range c.sent {
		if keys[key] || keys[sent.target] {
			return true
		}
	}
	return false
}

// count returns for each request the largest number of its runs that ended with a crash and
// did not overlap. The crashes are in the order of their times.
func count(crashes []crash, served map[Key]time.Time) map[Key]suspicion {
	counts := map[Key]suspicion{}
	for _, c := range crashes {
		for key, sent := range c.sent {
			s := counts[key]
			if !c.at.After(served[key]) || (s.crashes > 0 && sent.at.Before(s.lastAt)) {
				continue
			}
			counts[key] = suspicion{crashes: s.crashes + 1, lastAt: c.at}
		}
	}
	return counts
}

// findCause returns the request with the most crashes among those that are the cause of
// theirs.
func findCause(crashes []crash, counts map[Key]suspicion) (Key, bool) {
	var suspects []Key
	for key, s := range counts {
		if s.crashes >= minCrashes {
			suspects = append(suspects, key)
		}
	}
	slices.SortFunc(suspects, func(a, b Key) int {
		if d := counts[b].crashes - counts[a].crashes; d != 0 {
			return d
		}
		return bytes.Compare(a[:], b[:])
	})
	for _, key := range suspects {
		if !isAmbiguous(key, crashes, counts) {
			return key, true
		}
	}
	return Key{}, false
}

// isAmbiguous reports whether another request with as many crashes was in all but one of
// the crashes of the request, or in more.
func isAmbiguous(key Key, crashes []crash, counts map[Key]suspicion) bool {
	together, own := map[Key]int{}, 0
	for _, c := range crashes {
		if !c.has(key) {
			continue
		}
		own++
		for other := range c.sent {
			if other != key && counts[other].crashes >= counts[key].crashes {
				together[other]++
			}
		}
	}
	for _, n := range together {
		if n >= own-1 {
			return true
		}
	}
	return false
}
