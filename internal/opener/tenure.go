package opener

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// checkpointDivisor gives the part of a deduction after which its progress is written,
// which is lost at most if the holder ends.
const checkpointDivisor = 16

// clockTolerance exceeds the difference between the store's clock and a process's over Silence.
const clockTolerance = 50 * time.Millisecond

// Terms are the durations that all instances have in common.
type Terms struct {
	// Window is how long a holder uses its right after the store has confirmed it.
	Window time.Duration
	// Life is the longest time from the first to the last turn of a program.
	Life time.Duration
	// Silence is the time since its last renewal for which a holder opens no programs.
	Silence time.Duration
	// MaxLifted is the number of lifted programs that are listed, at most the constant.
	MaxLifted int
}

// deduction returns how long programs of an unknown holder may have turns.
func (t Terms) deduction() time.Duration { return t.Window + t.Life }

// Write is a conditional write of the slot's row.
type Write struct {
	Right Right
	// Expected is the version that the row must have.
	Expected int64
	number   int
}

// opening is a program that is used without a row. Its tokens are at most allowance.
type opening struct {
	allowance    int64
	unreported   []string
	used         int64
	reservations map[string]int64
	isStopped    bool
}

func (o *opening) committed() int64 {
	sum := o.used
	for _, tokens := range o.reservations {
		sum += tokens
	}
	return sum
}

// Tenure is the state of one process for a right that it took. It does no I/O and is
// not safe for concurrent use. A process keeps its tenures until Life after they ended,
// since successors ask for their openings.
type Tenure struct {
	id    string
	terms Terms
	// right and version are those of the row when it was last read or written, if
	// isHeld; until then version is that which the first write expects.
	right   Right
	version int64
	isHeld  bool
	// began is the version that the first write expects. Later tenures have higher ones.
	began int64
	// heldAt is when the row was first known to name this tenure. No former holder had its
	// right confirmed after that.
	heldAt time.Time
	// formerEnd and lostEnd are when the former holder and the lost ones could last open
	// programs, as far as this process knows.
	formerEnd, lostEnd time.Time
	// isEnded is true once the right has another holder or the tenure was sealed.
	isEnded     bool
	confirmedAt time.Time
	// renewedAt is when the store's time was received that the last renewal states; zero before
	// the first.
	renewedAt time.Time
	// unresolved has the writes that expect the version and may still take effect.
	unresolved map[int]struct{}
	writes     int
	// deductingSince is when the row was first known to have Deducted deductedBefore.
	deductingSince time.Time
	deductedBefore time.Duration

	openings map[string]*opening
	// stopped has the hashes of programs that this holder opens no more and that are
	// not yet in the row.
	stopped map[uint64]struct{}
}

// Current is the row of a slot as it was read.
type Current struct {
	Right   Right
	Version int64
	// IsMalformed is true if the row exists and is ErrMalformed.
	IsMalformed bool
}

// Take returns a tenure of the process and the write that starts it. The tenure is held
// once Observe has seen the row. Witnesses are two other processes, or none.
func Take(self string, slot int, current Current, witnesses []string, share int64, terms Terms) (*Tenure, Write) {
	t := &Tenure{
		id: fmt.Sprintf("%s/%d/%d", self, slot, current.Version), terms: terms, version: current.Version, began: current.Version,
		unresolved: map[int]struct{}{}, openings: map[string]*opening{}, stopped: map[uint64]struct{}{},
	}
	old := current.Right
	next := Right{
		Format: format, Holder: self, Tenure: t.id, Witnesses: witnesses, Share: share, Number: t.number(), Silence: terms.Silence,
	}
	switch {
	case current.IsMalformed:
		next.IsDeducting = true
	case current.Version != 0:
		next.Lifted, next.LiftedBefore, next.Overflow, next.RotatedAt = old.Lifted, old.LiftedBefore, old.Overflow, old.RotatedAt
		next.Former, next.IsDeducting, next.Deducted, next.Lost = old.Former, old.IsDeducting, old.Deducted, old.Lost
		if old.Former == nil && len(old.Witnesses) > 0 {
			next.Former = &Former{Tenure: old.Tenure, Holder: old.Holder, Witnesses: old.Witnesses, Number: old.Number, Silence: old.Silence}
		}
	}
	return t, t.write(next)
}

// number returns a positive number that is greater for later tenures.
func (t *Tenure) number() int64 { return t.began + 1 }

// ID returns what identifies the tenure in the row.
func (t *Tenure) ID() string { return t.id }

// Right returns the row, and whether the process holds the right as far as it knows.
func (t *Tenure) Right() (Right, bool) { return t.right, t.isHeld && !t.isEnded }

// HasEnded reports whether the right has another holder.
func (t *Tenure) HasEnded() bool { return t.isEnded }

// IsInDoubt reports whether a write of the row may still take effect. Nothing is opened
// meanwhile: the row that takes effect may name other witnesses.
func (t *Tenure) IsInDoubt() bool { return len(t.unresolved) > 0 }

// write records that a write of the row is submitted.
func (t *Tenure) write(next Right) Write {
	t.writes++
	t.unresolved[t.writes] = struct{}{}
	return Write{Right: next, Expected: t.version, number: t.writes}
}

// Failed records that the write did not take effect and never will. Without a call of
// Failed or Observe it remains in doubt.
func (t *Tenure) Failed(w Write) { delete(t.unresolved, w.number) }

// Observe records the row as read or written by a call that started at the given time.
func (t *Tenure) Observe(r Right, version int64, startedAt, now time.Time) {
	switch {
	case t.isEnded || version < t.version:
		return
	case r.Tenure != t.id:
		if version > t.version {
			t.end()
		}
		return
	}
	if version > t.version {
		clear(t.unresolved) // They expect the former version.
	}
	if !t.isHeld {
		t.isHeld, t.heldAt = true, now
		t.formerEnd, t.lostEnd = now.Add(t.terms.Window), now.Add(t.terms.Window)
	}
	if r.IsDeducting && (!t.right.IsDeducting || r.lostLatest() != t.right.lostLatest()) {
		t.deductingSince, t.deductedBefore = now, r.Deducted
	}
	t.right, t.version = r, version
	if startedAt.After(t.confirmedAt) {
		t.confirmedAt = startedAt
	}
	if r.Overflow == Unlisted {
		clear(t.stopped)
	}
	for _, hash := range slices.Concat(r.Lifted, r.LiftedBefore) {
		delete(t.stopped, hash)
	}
}

// end stops all openings.
func (t *Tenure) end() {
	t.isEnded = true
	for _, o := range t.openings {
		o.isStopped = true
	}
}

// isConfirmed reports whether tokens may be used without a row.
func (t *Tenure) isConfirmed(now time.Time) bool {
	return t.isHeld && !t.isEnded && elapsed(t.confirmedAt, now) < t.terms.Window
}

// elapsed returns the time since then. The monotonic clock does not count the time for which a
// host is suspended; the time of day does, but may be set back.
func elapsed(since, now time.Time) time.Duration {
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)))
}

// MayOpen reports whether programs may be opened. That a renewal of the tenure is older than
// Silence is measured by the monotonic clock alone, which never runs ahead.
func (t *Tenure) MayOpen(now time.Time) bool {
	return t.isConfirmed(now) && t.right.Former == nil && !t.right.IsDeducting && t.right.Overflow == Listed && !t.IsInDoubt() && len(t.right.Witnesses) == witnessCount &&
		!t.renewedAt.IsZero() && now.Sub(t.renewedAt) >= t.terms.Silence
}

// Renew records that a renewal is about to be sent, with the store's time that was received at
// the given time. It returns false if openings are unrecorded, of which the renewal must not say
// that there are none.
func (t *Tenure) Renew(receivedAt time.Time) bool {
	for _, o := range t.openings {
		if !o.isStopped || o.committed() > 0 {
			return false
		}
	}
	if receivedAt.After(t.renewedAt) {
		t.renewedAt = receivedAt
	}
	return true
}

// HeldAt returns when the row was first known to name this tenure; zero before.
func (t *Tenure) HeldAt() time.Time { return t.heldAt }

// FormerHasEnded records that the former holder or one of its witnesses has ended, so that it
// opens no programs from now on.
func (t *Tenure) FormerHasEnded(now time.Time) {
	if now.Before(t.formerEnd) {
		t.formerEnd = now
	}
}

// HasOpenedNothing reports whether the former holder opened no programs since its last renewal,
// which states the store's time renewedAt. One of the processes without which it can't open
// programs had ended by the store's time endedAt. A time before the renewal is not that of an end.
func (t *Tenure) HasOpenedNothing(renewedAt, endedAt time.Time) bool {
	former := t.right.Former
	return former != nil && former.Silence > 0 && !endedAt.Before(renewedAt) && endedAt.Sub(renewedAt) < former.Silence-clockTolerance
}

// Mark returns what to record in the row of a program that now has the mark, or that does not exist
// yet: the number of this tenure if no lost holder opened the program without recording it, and
// if this one will not open it. The caller states HasRow to Reserve for as long as the row has that
// mark.
func (t *Tenure) Mark(program string, mark int64, isNew bool) int64 {
	right, isHolder := t.Right()
	switch {
	case !isHolder, right.Former != nil, t.openings[program] != nil:
		return mark
	case isNew && (!right.IsDeducting || right.Lost == nil || !right.Lost.IsPast):
		// The write of a new row may be in doubt while the program is opened.
		return 0
	case isNew, right.isCleared(mark):
		return t.number()
	}
	return mark
}

// IsMark reports whether the mark is that of this tenure, which is in force.
func (t *Tenure) IsMark(mark int64) bool {
	_, isHolder := t.Right()
	return isHolder && mark == t.number()
}

// Result is the result of Reserve.
type Result int

const (
	// Refused means that the turn needs a row.
	Refused Result = iota
	// Granted means that the tokens are reserved.
	Granted
	// Unreported means that the witnesses must acknowledge the opening first.
	Unreported
)

// Program is a program that asks for tokens without a row.
type Program struct {
	Name   string
	Budget int64
	// HasRow is true if the process knows that the program has a row.
	HasRow bool
}

// Reserve reserves the tokens for a turn of a program without a row. It has no effect
// if the turn is open.
func (t *Tenure) Reserve(p Program, turn string, tokens int64, now time.Time) Result {
	if !t.isConfirmed(now) {
		return Refused
	}
	o := t.openings[p.Name]
	if o == nil {
		_, isStopped := t.stopped[xxhash.Sum64String(p.Name)]
		allowance := Allowance(p.Budget, t.right.Share)
		if p.HasRow || isStopped || tokens > allowance || !t.MayOpen(now) || t.right.IsLifted(p.Name) || t.isFull() {
			return Refused
		}
		o = &opening{allowance: allowance, unreported: slices.Clone(t.right.Witnesses), reservations: map[string]int64{}}
		t.openings[p.Name] = o
	}
	if _, isOpen := o.reservations[turn]; isOpen {
		return Granted
	}
	switch {
	case o.isStopped || o.committed()+tokens > o.allowance:
		return Refused
	case len(o.unreported) > 0:
		return Unreported
	}
	o.reservations[turn] = tokens
	return Granted
}

// isFull reports whether the row has no room to lift the openings and another program.
func (t *Tenure) isFull() bool {
	return len(t.right.Lifted)+len(t.right.LiftedBefore)+len(t.openings)+len(t.stopped) >= t.terms.MaxLifted
}

// Unreported returns the witnesses that must acknowledge the opening of the program,
// and its allowance.
func (t *Tenure) Unreported(program string) (witnesses []string, allowance int64) {
	if o := t.openings[program]; o != nil && !o.isStopped {
		return slices.Clone(o.unreported), o.allowance
	}
	return nil, 0
}

// Acknowledge records that the witness knows the opening with the allowance.
func (t *Tenure) Acknowledge(program, witness string, allowance int64) {
	if o := t.openings[program]; o != nil && allowance >= o.allowance {
		o.unreported = slices.DeleteFunc(o.unreported, func(name string) bool { return name == witness })
	}
}

// Settle replaces a turn's reservation by the tokens that the turn used.
func (t *Tenure) Settle(program, turn string, used int64) {
	o := t.openings[program]
	if o == nil {
		return
	}
	if tokens, isOpen := o.reservations[turn]; isOpen {
		delete(o.reservations, turn)
		o.used += min(used, tokens)
	}
}

// Unrecorded returns the programs of which tokens were used without a row.
func (t *Tenure) Unrecorded() []string {
	var programs []string
	for program, o := range t.openings {
		if o.committed() > 0 {
			programs = append(programs, program)
		}
	}
	slices.Sort(programs)
	return programs
}

// DropUnused removes the openings of which nothing was used. They begin anew if they are
// asked for again.
func (t *Tenure) DropUnused() {
	maps.DeleteFunc(t.openings, func(_ string, o *opening) bool { return !o.isStopped && o.committed() == 0 })
}

// Lift stops the programs and returns the write that lifts them. There is none if the
// process does not hold the right. If the row has no room, all programs of the slot count as lifted.
// StoreTime is the time by the store's clock; zero if it is not known.
func (t *Tenure) Lift(programs []string, storeTime time.Time) (Write, bool) {
	if _, isHolder := t.Right(); !isHolder {
		return Write{}, false
	}
	next := t.right
	next.Lifted = slices.Clone(next.Lifted)
	for _, program := range programs {
		if !next.IsLifted(program) {
			next.Lifted = append(next.Lifted, xxhash.Sum64String(program))
		}
	}
	if next.RotatedAt == 0 {
		next.RotatedAt = millis(storeTime)
	}
	if len(next.Lifted)+len(next.LiftedBefore) > t.terms.MaxLifted {
		next.Overflow, next.RotatedAt, next.Lifted, next.LiftedBefore = Unlisted, millis(storeTime), nil, nil
		for _, o := range t.openings {
			o.isStopped = true
		}
	}
	for _, program := range programs {
		t.stopped[xxhash.Sum64String(program)] = struct{}{}
		if o := t.openings[program]; o != nil {
			o.isStopped = true
		}
	}
	return t.write(next), true
}

// Committed returns what the program used, or may still use, without a row. It is known
// once the program is lifted, no opening of a former holder is unrecorded, and the mark
// of its row shows that no lost holder opened it; then it never rises again.
func (t *Tenure) Committed(program string, mark int64) (tokens int64, isKnown bool) {
	right, isHolder := t.Right()
	if !isHolder || right.Former != nil || !right.IsLifted(program) {
		return 0, false
	}
	if o := t.openings[program]; o != nil {
		o.isStopped = true // Nothing is opened while a lost holder's openings are unknown.
		return o.committed(), true
	}
	return 0, right.isCleared(mark)
}

// CanLift reports whether lifting a program with the mark lets Committed be known.
func (t *Tenure) CanLift(program string, mark int64) bool {
	right, isHolder := t.Right()
	return isHolder && right.Former == nil && (t.openings[program] != nil || right.isCleared(mark))
}

// Recorded records that the program's row has what was used without a row.
func (t *Tenure) Recorded(program string) {
	if t.right.IsLifted(program) {
		delete(t.openings, program)
	}
}

// Replace returns the write that names other witnesses. There is none while openings
// are unrecorded, as only the present witnesses know them.
func (t *Tenure) Replace(witnesses []string) (Write, bool) {
	if _, isHolder := t.Right(); !isHolder || len(t.Unrecorded()) > 0 {
		return Write{}, false
	}
	clear(t.openings)
	next := t.right
	next.Witnesses = witnesses
	return t.write(next), true
}

// Release ends the tenure and returns the write after which a successor need not ask for its
// openings. There is none while openings are unrecorded.
func (t *Tenure) Release() (Write, bool) {
	_, isHolder := t.Right()
	t.end()
	if !isHolder || len(t.Unrecorded()) > 0 || len(t.right.Witnesses) == 0 {
		return Write{}, false
	}
	next := t.right
	next.Witnesses = nil
	return t.write(next), true
}

// Resolve returns the write that ends the doubt about an earlier one: once it took
// effect or conflicted, the earlier one can't.
func (t *Tenure) Resolve() (Write, bool) {
	if _, isHolder := t.Right(); !isHolder || !t.IsInDoubt() {
		return Write{}, false
	}
	return t.write(t.right), true
}

// FinishSettling returns the write after which the former holder's openings count as
// recorded. The caller has lifted all of them and charged them to their rows.
func (t *Tenure) FinishSettling() (Write, bool) {
	if right, isHolder := t.Right(); !isHolder || right.Former == nil {
		return Write{}, false
	}
	next := t.right
	next.Former = nil
	return t.write(next), true
}

// Deduct returns the write that begins a deduction, as the openings of the former holder
// are unknown.
func (t *Tenure) Deduct() (Write, bool) {
	former, wasDeducting := t.right.Former, t.right.IsDeducting
	w, ok := t.FinishSettling()
	if !ok {
		return w, false
	}
	latest := former.Number // Those that were lost before have lower ones.
	if latest == 0 {
		latest = t.number() // Its marks, if there are any, say nothing.
	}
	end := t.formerEnd
	if wasDeducting {
		end = later(end, t.lostEnd)
	}
	t.lostEnd = end
	w.Right.IsDeducting, w.Right.Deducted, w.Right.Lost = true, 0, &Lost{Latest: latest}
	return w, true
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// Advance returns the write that is due with time: the end or the progress of a
// deduction, or the removal of programs that were lifted longer ago than Life. Programs that were
// stopped come back within returnTime or not at all. StoreTime is that of Lift.
func (t *Tenure) Advance(now, storeTime time.Time, returnTime time.Duration) (Write, bool) {
	if _, isHolder := t.Right(); !isHolder {
		return Write{}, false
	}
	next := t.right
	deducted := t.deductedBefore + now.Sub(t.deductingSince)
	switch {
	case t.right.IsDeducting && deducted >= t.terms.deduction():
		next.IsDeducting, next.Deducted, next.Lost = false, 0, nil
	case t.right.IsDeducting && t.right.Lost != nil && !t.right.Lost.IsPast && !now.Before(t.lostEnd.Add(returnTime)):
		next.Lost = &Lost{Latest: t.right.Lost.Latest, IsPast: true}
	case t.right.IsDeducting && deducted-t.right.Deducted >= t.terms.deduction()/checkpointDivisor:
		next.Deducted = deducted
	case !storeTime.IsZero() && t.right.RotatedAt == 0 && t.hasLifted():
		next.RotatedAt = millis(storeTime)
	case !storeTime.IsZero() && t.hasLifted() && storeTime.Sub(time.UnixMilli(t.right.RotatedAt)) > t.terms.Life:
		// A program may have a turn at the age of Life.
		next.Lifted, next.LiftedBefore, next.RotatedAt = nil, t.right.Lifted, millis(storeTime)
		switch t.right.Overflow {
		case Unlisted:
			next.Overflow = Relisted
		case Listed, Relisted:
			next.Overflow = Listed
		}
	default:
		return Write{}, false
	}
	return t.write(next), true
}

// hasLifted reports whether the row has something to rotate.
func (t *Tenure) hasLifted() bool {
	return t.right.Overflow != Listed || len(t.right.Lifted)+len(t.right.LiftedBefore) > 0
}

// millis returns the time in milliseconds, and zero for none.
func millis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// Seal ends the tenure and returns what was used, or may still be used, of each program
// without a row.
func (t *Tenure) Seal() map[string]int64 {
	t.end()
	openings := map[string]int64{}
	for program, o := range t.openings {
		if tokens := o.committed(); tokens > 0 {
			openings[program] = tokens
		}
	}
	return openings
}

// Witness knows the openings of other processes. It is not safe for concurrent use.
type Witness struct {
	tenures map[string]*witnessed
}

// witnessed is what a witness knows of a tenure: the allowances of its openings.
type witnessed struct {
	openings  map[string]int64
	isSealed  bool
	touchedAt time.Time
}

// NewWitness returns a Witness.
func NewWitness() *Witness { return &Witness{tenures: map[string]*witnessed{}} }

func (w *Witness) tenure(id string, now time.Time) *witnessed {
	k := w.tenures[id]
	if k == nil {
		k = &witnessed{openings: map[string]int64{}}
		w.tenures[id] = k
	}
	k.touchedAt = now
	return k
}

// Report records an opening. It is not acknowledged if the tenure is sealed.
func (w *Witness) Report(tenure, program string, allowance int64, now time.Time) bool {
	k := w.tenure(tenure, now)
	if k.isSealed {
		return false
	}
	k.openings[program] = max(k.openings[program], allowance)
	return true
}

// Seal acknowledges no more openings of the tenure and returns their allowances.
func (w *Witness) Seal(tenure string, now time.Time) map[string]int64 {
	k := w.tenure(tenure, now)
	k.isSealed = true
	return maps.Clone(k.openings)
}

// Forget removes an opening that is recorded.
func (w *Witness) Forget(tenure, program string) {
	if k := w.tenures[tenure]; k != nil {
		delete(k.openings, program)
	}
}

// Prune removes the tenures that were last used before the given time, which must be
// a Window and a Life ago.
func (w *Witness) Prune(before time.Time) {
	maps.DeleteFunc(w.tenures, func(_ string, k *witnessed) bool { return k.touchedAt.Before(before) })
}
