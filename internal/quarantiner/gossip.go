package quarantiner

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/messenger"
)

const (
	methodReport = "ReportCrashes"
	// reportTimeout limits the call to a bookkeeper. Nobody waits for it.
	reportTimeout = 2 * time.Second
	// sharedCrashes is the number of crashes from which the suspicion against a request is
	// sent to all instances: those that serve it report so.
	sharedCrashes = 2
	// suspicionMemory is how long such a suspicion is kept unless it is received again.
	suspicionMemory = 10 * time.Second
	// maxVerdicts limits the verdicts that are sent, and maxReceived those that are kept.
	maxVerdicts = 64
	maxReceived = 512
	// releaseMemory is how long the early end of a quarantine is sent to other instances, and
	// how long one that they still know is not taken over from them.
	releaseMemory = 10 * time.Second
	// maxHops is how often a verdict is forwarded, as the time spent in transit does not
	// shorten the quarantine.
	maxHops = 4
)

// report tells a bookkeeper of crashes, and of requests that were served after some.
type report struct {
	Crashes []reportedCrash   `cbor:"1,keyasint,omitempty"`
	Served  []reportedService `cbor:"2,keyasint,omitempty"`
}

type reportedCrash struct {
	Process string        `cbor:"1,keyasint"`
	Age     time.Duration `cbor:"2,keyasint"`
	Runs    []reportedRun `cbor:"3,keyasint"`
}

type reportedRun struct {
	Key Key `cbor:"1,keyasint"`
	// SentAge is the time since the request was sent.
	SentAge time.Duration `cbor:"2,keyasint"`
	Target  Key           `cbor:"3,keyasint"`
}

type reportedService struct {
	Key Key           `cbor:"1,keyasint"`
	Age time.Duration `cbor:"2,keyasint"`
}

// Verdict is one instance's knowledge of a request, sent to other instances.
type Verdict struct {
	Key Key `cbor:"1,keyasint"`
	// Crashes is the number of crashes, one after the other, that may be due to it.
	Crashes int `cbor:"2,keyasint"`
	// Left is how much longer it is not to be sent; zero if it is only under suspicion.
	Left time.Duration `cbor:"3,keyasint,omitempty"`
	// Hops is how often the verdict was forwarded, this time included.
	Hops int `cbor:"4,keyasint"`
	// IsReleased is true if its quarantine ended early: the processes had not ended, or the
	// request was served.
	IsReleased bool `cbor:"5,keyasint,omitempty"`
}

// receivedVerdict is a verdict of another instance.
type receivedVerdict struct {
	Verdict
	at time.Time
}

func (v receivedVerdict) left(now time.Time) time.Duration { return max(v.Left-now.Sub(v.at), 0) }

func (v receivedVerdict) isValid(now time.Time) bool {
	return v.left(now) > 0 || now.Sub(v.at) <= suspicionMemory
}

func encodeCrash(process string, c crash, now time.Time) reportedCrash {
	out := reportedCrash{Process: process, Age: now.Sub(c.at)}
	for key, sent := range c.sent {
		out.Runs = append(out.Runs, reportedRun{Key: key, SentAge: now.Sub(sent.at), Target: sent.target})
	}
	return out
}

// Handlers returns the handlers of calls from other instances, by method.
func (q *Quarantiner) Handlers() map[string]messenger.Handler {
	return map[string]messenger.Handler{
		methodReport: messenger.Handle(func(_ context.Context, in report) ([]Verdict, error) {
			q.receive(in)
			return q.Verdicts(), nil
		}),
		methodLastServed: messenger.Handle(func(_ context.Context, keys []Key) ([]time.Duration, error) {
			return q.lastServed(keys), nil
		}),
	}
}

// send sends the report to all bookkeepers, without waiting for them.
func (q *Quarantiner) send(r report) {
	for _, m := range q.members.Bookkeepers("") {
		if m.Instance == q.members.Self().Instance {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
			defer cancel()
			var verdicts []Verdict
			// A bookkeeper that does not answer learns of the next crash, or from others.
			if err := q.caller.Call(ctx, m.Address, methodReport, r, &verdicts); err == nil {
				q.MergeVerdicts(verdicts)
			}
		}()
	}
}

func (q *Quarantiner) receive(r report) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, reported := range r.Crashes {
		c := crash{at: now.Add(-reported.Age), sent: map[Key]sending{}}
		for _, run := range reported.Runs {
			c.sent[run.Key] = sending{at: now.Add(-run.SentAge), target: run.Target}
		}
		q.lockedAdd(reported.Process, c)
	}
	for _, s := range r.Served {
		if at := now.Add(-s.Age); at.After(q.served[s.Key]) {
			q.served[s.Key] = at
		}
		delete(q.verdicts, s.Key)
	}
	q.lockedAttribute()
}

// Verdicts returns what other instances need to know: the requests that are not to be sent,
// and those under strong suspicion, the gravest first.
func (q *Quarantiner) Verdicts() []Verdict {
	if !q.IsWatching() {
		return nil
	}
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lockedRefresh(now)
	var verdicts []Verdict
	for key, s := range q.suspicions {
		if s.crashes < sharedCrashes {
			continue
		}
		v := Verdict{Key: key, Crashes: s.crashes, Hops: 1}
		if own, isKnown := q.quarantines[key]; isKnown {
			v.Left = max(own.until.Sub(now), 0)
		}
		verdicts = append(verdicts, v)
	}
	for key, v := range q.verdicts {
		if left := v.left(now); left > 0 && v.Hops < maxHops && !q.isQuarantinedHere(key) {
			verdicts = append(verdicts, Verdict{Key: key, Crashes: v.Crashes, Left: left, Hops: v.Hops + 1})
		}
	}
	for key, r := range q.releases {
		if now.Sub(r.at) <= releaseMemory && r.hops < maxHops {
			verdicts = append(verdicts, Verdict{Key: key, Hops: r.hops + 1, IsReleased: true})
		}
	}
	slices.SortFunc(verdicts, func(a, b Verdict) int {
		return cmp.Or(cmp.Compare(b.Left, a.Left), cmp.Compare(b.Crashes, a.Crashes))
	})
	return verdicts[:min(len(verdicts), maxVerdicts)]
}

func (q *Quarantiner) isQuarantinedHere(key Key) bool {
	_, isQuarantined := q.quarantines[key]
	return isQuarantined
}

// MergeVerdicts adds the verdicts of another instance. A quarantine is not extended when it is
// received again.
func (q *Quarantiner) MergeVerdicts(verdicts []Verdict) {
	if len(verdicts) == 0 {
		return
	}
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, v := range verdicts {
		if v.IsReleased {
			q.lockedRelease(v.Key, v.Hops)
			continue
		}
		if _, wasReleased := q.releases[v.Key]; wasReleased {
			continue
		}
		known, isKnown := q.verdicts[v.Key]
		switch {
		case isKnown && known.left(now) > 0 && (v.Left == 0 || known.Hops <= v.Hops):
			continue
		case !isKnown && len(q.verdicts) >= maxReceived:
			continue
		}
		if v.Left > 0 && known.left(now) == 0 && !q.isQuarantinedHere(v.Key) {
			q.log.Log(eventQuarantined, "Key", v.Key, "Crashes", v.Crashes, "Until", now.Add(v.Left), "Source", "Instance")
		}
		q.verdicts[v.Key] = receivedVerdict{Verdict: v, at: now}
	}
	q.isWatching.Store(true)
}

// release is the early end of a quarantine.
type release struct {
	at time.Time
	// hops is how often it was forwarded until it reached this instance.
	hops int
}

// lockedRelease ends another instance's quarantine of the request.
func (q *Quarantiner) lockedRelease(key Key, hops int) {
	delete(q.verdicts, key)
	if known, isKnown := q.releases[key]; isKnown && known.hops <= hops {
		return
	}
	if len(q.releases) < maxReceived && !q.isQuarantinedHere(key) {
		q.releases[key] = release{at: time.Now(), hops: hops}
	}
}
