package bookkeeper

import (
	"context"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/wigeonstand/wigeonstand/internal/batcher"
	"github.com/wigeonstand/wigeonstand/internal/discoverer"
	"github.com/wigeonstand/wigeonstand/internal/opener"
	"github.com/wigeonstand/wigeonstand/internal/storer"
)

// renewalsPartition has one row of RightsTable per instance, with its last renewals.
const renewalsPartition = "renewals"

// maxRenewals limits the processes in a row. Those before the last process are kept, as the rights
// that they held may not have been taken over yet.
const maxRenewals = 4

// renewal states that a process had opened no programs without a row since the time before, or
// had recorded them.
type renewal struct {
	Process string `cbor:"1,keyasint"`
	// At is the store's time in milliseconds.
	At int64 `cbor:"2,keyasint"`
	// Unsettled are the process's tenures for which the renewal does not hold.
	Unsettled []string `cbor:"3,keyasint,omitempty"`
}

// renewals is a row of renewalsPartition.
type renewals struct {
	Renewals []renewal `cbor:"1,keyasint"`
}

// The messages of the actor that concern renewals.
type (
	renewalRead struct {
		row     storer.Record
		reading storer.Reading
	}
	renewalWritten struct{}
)

// readRenewal reads the row of this instance before its next renewal. The response has a new
// reading of the store's clock.
func (r *rights) readRenewal(ctx context.Context, send func(message any)) {
	if !r.isHolding.Load() || r.IsStoreAway() {
		return
	}
	startedAt := time.Now()
	row, err := r.readRenewals(ctx, r.Members.Self().Instance)
	if err != nil {
		return // The path to the store is logged where it changes.
	}
	if reading, isKnown := r.Clock(); isKnown && !reading.SentAt.Before(startedAt) {
		send(renewalRead{row: row, reading: reading})
	}
}

// storeTime returns the time by the store's clock; zero if there is no reading of it.
func (r *rights) storeTime() time.Time {
	reading, isKnown := r.Clock()
	if !isKnown {
		return time.Time{}
	}
	return reading.At.Add(time.Since(reading.ReceivedAt))
}

// readRenewals returns the row of an instance. Its version is zero if there is none.
func (r *rights) readRenewals(ctx context.Context, instance string) (storer.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, rightsTimeout)
	defer cancel()
	page, err := r.Rows.List(ctx, storer.Range{
		Table: RightsTable, Partition: renewalsPartition, From: instance, To: instance + "\x00", Limit: 1,
	})
	if err != nil || len(page.Records) == 0 {
		return storer.Record{}, err
	}
	return page.Records[0], nil
}

// handleRenewal writes the next renewal.
func (r *rights) handleRenewal(s *state, m renewalRead) {
	if r.isRenewing || s.isRetired {
		return
	}
	own := renewal{Process: s.holder, At: m.reading.At.UnixMilli()}
	for i := range r.slots {
		for id, t := range r.slots[i].tenures {
			if !t.Renew(m.reading.ReceivedAt) {
				own.Unsettled = append(own.Unsettled, id)
			}
		}
	}
	next := renewals{Renewals: []renewal{own}}
	var current renewals
	if err := cbor.Unmarshal(m.row.Value, &current); err == nil { // A malformed row is replaced.
		for _, other := range current.Renewals {
			if other.Process != s.holder && len(next.Renewals) < maxRenewals {
				next.Renewals = append(next.Renewals, other)
			}
		}
	}
	value, err := cbor.Marshal(next)
	if err != nil {
		return
	}
	r.isRenewing = true
	// The condition keeps a late write from removing the renewal of the instance's next process.
	key := storer.RowKey{Table: RightsTable, Partition: renewalsPartition, Name: r.Members.Self().Instance}
	s.jobs.Submit(&batcher.Job{
		Changes:  []storer.Change{{RowKey: key, Expected: m.row.Version, Value: value}},
		Deadline: time.Now().Add(rightWriteTimeout),
		Done:     func(batcher.Result) { s.send(renewalWritten{}) },
	})
}

// renewalOf returns the last renewal of a process, one that states nothing if there is none, or
// nil if it could not be read.
func (r *rights) renewalOf(ctx context.Context, process string) *renewal {
	row, err := r.readRenewals(ctx, discoverer.InstanceOf(process))
	if err != nil {
		return nil
	}
	var found renewals
	if err := cbor.Unmarshal(row.Value, &found); err != nil {
		return &renewal{}
	}
	if i := slices.IndexFunc(found.Renewals, func(n renewal) bool { return n.Process == process }); i >= 0 {
		return &found.Renewals[i]
	}
	return &renewal{}
}

// ends has the times of the store's clock by which a former holder and its witnesses had ended, as far as
// they are known, and the number of them that are known to have ended.
func (r *rights) ends(former opener.Former, heldAt time.Time) (times []time.Time, ended int) {
	for _, process := range append([]string{former.Holder}, former.Witnesses...) {
		if !r.Members.HasEnded(process, heldAt) {
			continue
		}
		ended++
		if endedAt, isKnown := r.Members.ReplacedAt(process); isKnown {
			times = append(times, endedAt)
		}
	}
	return times, ended
}

// hasOpenedNothing reports whether the former holder's renewal, and the times by which it or its
// witnesses had ended, leave no time in which it could have opened programs.
func (sl *slot) hasOpenedNothing(former opener.Former, ends []time.Time) bool {
	if sl.renewal == nil || sl.renewal.At == 0 || slices.Contains(sl.renewal.Unsettled, former.Tenure) {
		return false
	}
	return slices.ContainsFunc(ends, func(endedAt time.Time) bool {
		return sl.tenure.HasOpenedNothing(time.UnixMilli(sl.renewal.At), endedAt)
	})
}
