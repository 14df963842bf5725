package bookkeeper

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/wigeonstand/wigeonstand/internal/batcher"
	"github.com/wigeonstand/wigeonstand/internal/discoverer"
	"github.com/wigeonstand/wigeonstand/internal/opener"
	"github.com/wigeonstand/wigeonstand/internal/storer"
)

// RightsTable names the store table that has one row per slot. All are in one partition,
// so that one read shows them.
const (
	RightsTable     = "rights"
	rightsPartition = "rights"
)

const (
	// rightsInterval is the time between two reads of the rights, each of which
	// confirms those that this process holds.
	rightsInterval = time.Second
	// idleReadInterval is that of processes that have not been bookkeepers for concernMemory, after
	// which they lift no programs.
	idleReadInterval = 10 * time.Second
	concernMemory    = time.Minute
	// rightsTimeout limits a read of the rights.
	rightsTimeout = 2 * time.Second
	// rightWriteTimeout limits a write of a right.
	rightWriteTimeout = 2 * time.Second
	// usageWindow is how long a right is used after the store confirmed it. It exceeds
	// the outages seen so far, which lasted up to 9 s.
	usageWindow = 30 * time.Second
	// programLife is for how long a budget holds: rows are kept as long.
	programLife = 24 * time.Hour
	// takeoverReads is the number of consecutive reads after which a right is taken
	// from a holder that is gone, and transferReads from one that is no longer the
	// slot's bookkeeper. Members are avoided for 2 s after a failed call.
	takeoverReads = 3
	// vacantReads is the same for a right that has not been taken yet: instances that
	// start at the same time don't know each other at first.
	vacantReads   = 2
	transferReads = 5
	// maxSealAttempts is the number of reads after which a former holder and its
	// witnesses that don't answer count as lost.
	maxSealAttempts = 10
	// chargesPerRead limits the programs' rows that are charged between two reads.
	// Few instances write, so that they stay below a tenth of the store's rate.
	chargesPerRead = 50
	// peerTimeout limits a call to a witness or a holder, peerRetryDelay is the pause
	// after one that failed.
	peerTimeout    = 200 * time.Millisecond
	peerRetryDelay = 100 * time.Millisecond
	// renewalInterval is the time between two renewals of the rights that this process holds.
	// openingSilence exceeds it by the longest time for which all instances may be down at once
	// without a doubt about what they had opened.
	renewalInterval = 400 * time.Millisecond
	openingSilence  = 2600 * time.Millisecond
	// maxMembers exceeds the number of members of any deployment, 360 by now.
	maxMembers = 1024
)

var openerTerms = opener.Terms{Window: usageWindow, Life: programLife, Silence: openingSilence, MaxLifted: opener.MaxLifted}

// Lister reads rows.
type Lister interface {
	List(ctx context.Context, r storer.Range) (storer.Page, error)
}

// RightMembers selects the holders and the witnesses of rights.
type RightMembers interface {
	Bookkeepers(program string) []discoverer.Member
	Ranking(key string, n int) []discoverer.Member
	FindIncarnation(incarnation string) (discoverer.Member, bool)
	// HasEnded reports whether a read of the members that began after the time shows that
	// the process with the incarnation has ended.
	HasEnded(incarnation string, after time.Time) bool
	// ReplacedAt returns a store's time by which the process with the incarnation had ended, as
	// another one runs at its instance.
	ReplacedAt(incarnation string) (time.Time, bool)
	// IsCurrent reports whether this process has written its row of the members.
	IsCurrent() bool
	Self() discoverer.Member
}

// OutageBudgets configures the opening of programs without a row.
type OutageBudgets struct {
	// Share is the part of a budget that may be used without a row, in thousandths.
	Share   int64
	Rows    Lister
	Members RightMembers
	Caller  Caller
	// IsStoreAway reports whether the store is unreachable on all paths.
	IsStoreAway func() bool
	// Clock returns the last reading of the store's clock. Nothing is opened without one.
	Clock func() (storer.Reading, bool)
	// ReturnTime returns the longest time after which a program that was stopped comes back.
	ReturnTime func() time.Duration
	// CountOpened is called for each program that is opened without a row, SetHeld
	// after each read with the rights held and the deductions in force among them.
	CountOpened func()
	SetHeld     func(rights, deductions int)
}

// WithOutageBudgets allows programs to be opened without a row while the store is away.
func WithOutageBudgets(o OutageBudgets) Option {
	return func(k *Bookkeeper, s *state) {
		k.readRights = func(ctx context.Context) {
			if s.rights.isReadDue() {
				s.send(readRights(ctx, o.Rows))
			}
		}
		s.rights = &rights{OutageBudgets: o, witness: opener.NewWitness()}
		k.renewRights = func(ctx context.Context) { s.rights.readRenewal(ctx, s.send) }
		s.rights.ctx, s.rights.cancel = context.WithCancel(context.Background())
		k.stopRights = func() {
			s.rights.stop()
		}
		for i := range s.rights.slots {
			s.rights.slots[i] = slot{tenures: map[string]*opener.Tenure{}}
		}
	}
}

// rights is the part of the actor's state that concerns rights. A nil rights refuses
// everything.
type rights struct {
	OutageBudgets
	witness *opener.Witness
	// ctx ends the calls of other instances, which work waits for.
	ctx     context.Context
	cancel  context.CancelFunc
	work    sync.WaitGroup
	workMu  sync.Mutex
	isEnded bool
	slots   [opener.SlotCount]slot
	// chargesLeft is the number of charges that may be written before the next read.
	chargesLeft int
	// isShareCommon is true if all known members withhold as much as this process uses.
	isShareCommon bool
	// isHolding is true while this process holds a right, and isRenewing while a renewal is being
	// written.
	isHolding  atomic.Bool
	isRenewing bool
	// readAt is when the rights were last read, and concernedAt when this process was last known to
	// need them. Only isReadDue uses them.
	readAt, concernedAt time.Time
}

type slot struct {
	current opener.Current
	// isKnown is false before the first read and for a row of a later version.
	isKnown bool
	tenures map[string]*opener.Tenure
	// tenure is the last one that this process began.
	tenure    *opener.Tenure
	isWriting bool
	// isChecked is true once it is known whether programs of a slot without a right have
	// rows without a withheld share, which hasOtherRows then tells.
	isChecked, hasOtherRows bool
	// reads is the number of consecutive reads after which the right could be taken.
	reads int
	// readsWithoutWitness is the number of consecutive reads at which a witness was
	// not known to live.
	readsWithoutWitness int
	// openings are those of the former holder, and sealAttempts the number of times
	// that they were asked for.
	former       string
	openings     map[string]int64
	isAsking     bool
	sealAttempts int
	// isAskDue is true until the former holder was asked since the last read. Answers may arrive much faster
	// than news of the members, which sealAttempts leaves time for.
	isAskDue bool
	// renewal is that of the former holder; nil until it is read.
	renewal *renewal
}

// The messages of the actor that concern rights.
type (
	rightsRead struct {
		rows      [opener.SlotCount]storer.Record
		startedAt time.Time
		err       error
	}
	rightWritten struct {
		slot      int
		tenure    *opener.Tenure
		write     opener.Write
		startedAt time.Time
		result    batcher.Result
	}
	formerSealed struct {
		slot   int
		former string
		// openings is nil if no instance answered, renewal if that of the holder was not read.
		openings map[string]int64
		renewal  *renewal
	}
	openingReported struct {
		program, tenure string
		// acknowledged are the witnesses that know the opening with the allowance.
		acknowledged []string
		allowance    int64
	}
	programLifted struct {
		program string
		LiftResponse
	}
	vacancyChecked struct {
		slot         int
		hasOtherRows bool
		err          error
	}
	storeLost struct{}
)

// share returns the part of a budget to withhold in new rows, in thousandths.
func (s *state) share() int64 {
	if s.rights == nil {
		return 0
	}
	return s.rights.Share
}

// mark returns the mark for the next row of a program.
func (r *rights) mark(program string, l *ledger) int64 {
	if r == nil {
		return l.mark
	}
	if t := r.slots[opener.Slot(program)].tenure; t != nil {
		return t.Mark(program, l.mark, !l.hasRow())
	}
	return l.mark
}

// isMark reports whether the mark of a program's row is that of a tenure of this process.
func (r *rights) isMark(program string, mark int64) bool {
	if r == nil {
		return false
	}
	t := r.slots[opener.Slot(program)].tenure
	return t != nil && t.IsMark(mark)
}

// release ends the tenures of this process, so that successors need not ask for their
// openings: after a planned stop of many instances none of those that know them is left.
func (r *rights) release(s *state) {
	if r == nil {
		return
	}
	for i := range r.slots {
		sl := &r.slots[i]
		if sl.tenure == nil {
			continue
		}
		if w, ok := sl.tenure.Release(); ok {
			s.log.Log(eventRightReleased, "Slot", slotNames[i], "Row", w.Expected)
			r.write(s, i, w)
		}
	}
}

// run runs f in a goroutine, unless stop was called.
func (r *rights) run(f func()) {
	r.workMu.Lock()
	defer r.workMu.Unlock()
	if !r.isEnded {
		r.work.Go(f)
	}
}

// stop ends what run started and waits for it.
func (r *rights) stop() {
	r.workMu.Lock()
	r.isEnded = true
	r.workMu.Unlock()
	r.cancel()
	r.work.Wait()
}

// isReadDue reports whether the rights are to be read now: by bookkeepers at each interval, so that they
// take rights and confirm them. Other processes read them now and then, to be ready to become one.
func (r *rights) isReadDue() bool {
	now, self := time.Now(), r.Members.Self().Instance
	if r.isHolding.Load() || slices.ContainsFunc(r.Members.Bookkeepers(""), func(m discoverer.Member) bool { return m.Instance == self }) {
		r.concernedAt = now
	}
	if now.Sub(r.concernedAt) > concernMemory && now.Sub(r.readAt) < idleReadInterval {
		return false
	}
	r.readAt = now
	return true
}

// readRights reads the rows of all slots.
func readRights(ctx context.Context, rows Lister) rightsRead {
	ctx, cancel := context.WithTimeout(ctx, rightsTimeout)
	defer cancel()
	out := rightsRead{startedAt: time.Now()}
	list := storer.Range{Table: RightsTable, Partition: rightsPartition}
	for {
		page, err := rows.List(ctx, list)
		if err != nil {
			out.err = err
			return out
		}
		for _, r := range page.Records {
			if i := slices.Index(slotNames, r.Name); i >= 0 {
				out.rows[i] = r
			}
		}
		if !page.More || len(page.Records) == 0 {
			return out
		}
		list.From = page.Records[len(page.Records)-1].Name + "\x00"
	}
}

// slotNames are the names of the slots' rows.
var slotNames = func() []string {
	var names []string
	for i := range opener.SlotCount {
		names = append(names, storer.PartitionName(i))
	}
	return names
}()

// slotKey is the key by which all instances select the bookkeeper of a slot.
func slotKey(program string) string { return slotNames[opener.Slot(program)] }

func (r *rights) receive(s *state, message any) {
	if r == nil {
		return
	}
	switch m := message.(type) {
	case rightsRead:
		r.handleRead(s, m)
	case rightWritten:
		r.handleWritten(s, m)
	case formerSealed:
		sl := &r.slots[m.slot]
		sl.isAsking = false
		if m.former == sl.former && (m.openings != nil || m.renewal != nil) {
			sl.openings, sl.renewal = m.openings, m.renewal
			r.step(s, m.slot)
		}
	case renewalRead:
		r.handleRenewal(s, m)
	case renewalWritten:
		r.isRenewing = false
	case openingReported:
		r.handleReported(s, m)
	case programLifted:
		s.handleLifted(m)
	case vacancyChecked:
		r.slots[m.slot].isChecked, r.slots[m.slot].hasOtherRows = m.err == nil, m.hasOtherRows
	case storeLost:
		for program, p := range s.programs {
			s.advance(program, p)
		}
	case reportMessage:
		m.reply <- r.witness.Report(m.Tenure, m.Program, m.Allowance, time.Now())
	case forgetMessage:
		for _, program := range m.Programs {
			r.witness.Forget(m.Tenure, program)
		}
	case sealMessage:
		m.reply <- r.seal(m.SealRequest)
	case liftMessage:
		m.reply <- r.liftHere(s, m.LiftRequest)
	}
}

func (r *rights) handleRead(s *state, m rightsRead) {
	r.chargesLeft = chargesPerRead
	r.isShareCommon = !slices.ContainsFunc(r.Members.Ranking("", maxMembers), func(m discoverer.Member) bool {
		return m.Incarnation != "" && m.OutageShare < r.Share // A seed has no incarnation.
	})
	r.witness.Prune(time.Now().Add(-usageWindow - programLife))
	if m.err != nil {
		return // The path to the store is logged where it changes.
	}
	held, deductions := 0, 0
	for i := range r.slots {
		sl := &r.slots[i]
		r.observe(s, i, m.rows[i].Value, m.rows[i].Version, m.startedAt)
		r.takeIfDue(s, i)
		sl.readsWithoutWitness++
		sl.isAskDue = true
		if right, isHolder := sl.right(); !isHolder || !r.needsWitnesses(right) {
			sl.readsWithoutWitness = 0
		}
		r.step(s, i)
		if right, isHolder := sl.right(); isHolder {
			held++
			if right.IsDeducting {
				deductions++
			}
		}
	}
	r.isHolding.Store(held > 0)
	r.SetHeld(held, deductions)
}

func (sl *slot) right() (opener.Right, bool) {
	if sl.tenure == nil {
		return opener.Right{}, false
	}
	return sl.tenure.Right()
}

// observe records the row of a slot. Rows that are no valid right grant nothing.
func (r *rights) observe(s *state, i int, value []byte, version int64, startedAt time.Time) {
	sl, now := &r.slots[i], time.Now()
	if sl.isKnown && version < sl.current.Version {
		return
	}
	current := opener.Current{Version: version}
	if version != 0 {
		var err error
		if current.Right, err = opener.Decode(value); err != nil {
			if version != sl.current.Version {
				s.log.Log(eventRightMalformed, "Slot", slotNames[i], "Row", version, "Cause", err)
			}
			current.IsMalformed = true
			sl.isKnown, sl.current = !errors.Is(err, opener.ErrLaterFormat), current
		}
	}
	if !current.IsMalformed {
		sl.isKnown, sl.current = true, current
	}
	for _, t := range sl.tenures {
		t.Observe(current.Right, version, startedAt, now)
	}
}

// takeIfDue takes the right of a slot if this instance is its bookkeeper.
func (r *rights) takeIfDue(s *state, i int) {
	sl, self := &r.slots[i], r.Members.Self()
	// Others find the end of this process by its row of the members.
	if _, isHolder := sl.right(); isHolder || s.isRetired || sl.isWriting || !sl.isKnown || !r.Members.IsCurrent() ||
		r.Members.Bookkeepers(slotNames[i])[0].Instance != self.Instance {
		sl.reads = 0
		return
	}
	sl.reads++
	needed := vacantReads
	if sl.current.Version != 0 && !sl.current.IsMalformed && sl.current.Right.Holder != s.holder {
		needed = takeoverReads
		if _, isLive := r.Members.FindIncarnation(sl.current.Right.Holder); isLive {
			needed = transferReads
		}
	}
	if sl.reads < needed {
		return
	}
	current := sl.current
	if current.Version == 0 {
		if !r.isShareCommon {
			sl.isChecked = false // Others still write rows without a withheld share.
			return
		}
		if !sl.isChecked {
			r.run(func() { s.send(r.checkVacancy(i)) })
			return
		}
		// The programs may have been granted their whole budgets.
		current.IsMalformed = sl.hasOtherRows
	}
	t, w := opener.Take(s.holder, i, current, r.witnesses(i), r.Share, openerTerms)
	sl.tenures[t.ID()], sl.tenure = t, t
	sl.former, sl.openings, sl.sealAttempts, sl.renewal = "", nil, 0, nil
	s.log.Log(eventRightTaken, "Slot", slotNames[i], "Row", sl.current.Version, "From", sl.current.Right.Holder, "Deducting", w.Right.IsDeducting)
	r.write(s, i, w)
}

// checkVacancy reads whether programs of a slot have rows without a withheld share. They
// were written by instances without the setting.
func (r *rights) checkVacancy(i int) vacancyChecked {
	ctx, cancel := context.WithTimeout(r.ctx, rightsTimeout)
	defer cancel()
	page, err := r.Rows.List(ctx, storer.Range{Table: Table, Partition: slotNames[i], Limit: storer.MaxEntries})
	out := vacancyChecked{slot: i, err: err, hasOtherRows: page.More}
	for _, record := range page.Records {
		program, err := decodeRow(record.Value)
		out.hasOtherRows = out.hasOtherRows || err != nil || program.Withheld == 0
	}
	return out
}

// witnesses returns the incarnations of two other instances, those in other data centres
// than this one first, or nil if there are not two.
func (r *rights) witnesses(i int) []string {
	var same, other []string
	for _, m := range r.Members.Ranking(slotNames[i], maxMembers) {
		if _, isLive := r.Members.FindIncarnation(m.Incarnation); !isLive || m.Incarnation == "" {
			continue
		}
		if m.DataCentre == r.Members.Self().DataCentre {
			same = append(same, m.Incarnation)
		} else {
			other = append(other, m.Incarnation)
		}
	}
	names := slices.Concat(other, same)
	if len(names) < 2 {
		return nil
	}
	return names[:2]
}

func (r *rights) write(s *state, i int, w opener.Write) {
	sl := &r.slots[i]
	value, err := w.Right.Encode()
	if err != nil {
		sl.tenure.Failed(w)
		return
	}
	sl.isWriting = true
	result := rightWritten{slot: i, tenure: sl.tenure, write: w, startedAt: time.Now()}
	s.jobs.Submit(&batcher.Job{
		Changes: []storer.Change{{
			RowKey: storer.RowKey{Table: RightsTable, Partition: rightsPartition, Name: slotNames[i]}, Expected: w.Expected, Value: value,
		}},
		Deadline: time.Now().Add(rightWriteTimeout),
		Done: func(out batcher.Result) {
			result.result = out
			s.send(result)
		},
	})
}

func (r *rights) handleWritten(s *state, m rightWritten) {
	r.slots[m.slot].isWriting = false
	var conflict *storer.Conflict
	switch err := m.result.Err; {
	case err == nil:
		if value, err := m.write.Right.Encode(); err == nil {
			r.observe(s, m.slot, value, m.result.Version, m.startedAt)
		}
	case errors.As(err, &conflict):
		if len(conflict.Current) > 0 {
			r.observe(s, m.slot, conflict.Current[0].Value, conflict.Current[0].Version, m.startedAt)
		}
	case errors.Is(err, storer.ErrInDoubt):
		return // The next step resolves it.
	default:
		m.tenure.Failed(m.write)
		return // The step after the next read tries again.
	}
	r.step(s, m.slot)
}

// step does what is due for a right that this process holds.
func (r *rights) step(s *state, i int) {
	sl := &r.slots[i]
	right, isHolder := sl.right()
	if !isHolder || sl.isWriting || s.isRetired {
		return
	}
	t := sl.tenure
	if !r.IsStoreAway() {
		t.DropUnused()
	}
	submit := func(w opener.Write, ok bool) {
		if ok {
			r.write(s, i, w)
		}
	}
	switch unrecorded := t.Unrecorded(); {
	case right.Former != nil:
		r.settleFormer(s, i, right, submit)
	case len(unrecorded) > 0:
		if r.IsStoreAway() {
			return
		}
		if slices.ContainsFunc(unrecorded, func(program string) bool { return !right.IsLifted(program) }) {
			submit(t.Lift(unrecorded, r.storeTime()))
			return
		}
		r.record(s, t, right, unrecorded)
	case sl.readsWithoutWitness >= takeoverReads:
		if witnesses := r.witnesses(i); witnesses != nil {
			submit(t.Replace(witnesses))
		}
	case t.IsInDoubt():
		submit(t.Resolve())
	default:
		submit(t.Advance(time.Now(), r.storeTime(), r.ReturnTime()))
	}
}

// needsWitnesses reports whether a witness is gone.
func (r *rights) needsWitnesses(right opener.Right) bool {
	return len(right.Witnesses) == 0 || slices.ContainsFunc(right.Witnesses, func(name string) bool {
		_, isLive := r.Members.FindIncarnation(name)
		return !isLive
	})
}

// record charges the programs that were opened without a row.
func (r *rights) record(s *state, t *opener.Tenure, right opener.Right, programs []string) {
	var recorded []string
	for _, program := range programs {
		tokens, isKnown := t.Committed(program, 0)
		if isKnown && r.charge(s, program, tokens) {
			t.Recorded(program)
			recorded = append(recorded, program)
		}
	}
	if len(recorded) == 0 {
		return
	}
	s.log.Log(eventOpeningsRecorded, "Tenure", t.ID(), "Programs", len(recorded))
	for _, witness := range right.Witnesses {
		r.run(func() { r.forget(witness, ForgetRequest{Tenure: t.ID(), Programs: recorded}) })
	}
}

// settleFormer charges the openings of the former holder, or begins a deduction.
func (r *rights) settleFormer(s *state, i int, right opener.Right, submit func(opener.Write, bool)) {
	sl, former := &r.slots[i], *right.Former
	if sl.former != former.Tenure {
		sl.former, sl.openings, sl.sealAttempts, sl.renewal = former.Tenure, nil, 0, nil
		sl.isAskDue = true
	}
	ends, ended := r.ends(former, sl.tenure.HeldAt())
	if ended > 0 {
		sl.tenure.FormerHasEnded(time.Now())
	}
	switch {
	case sl.openings != nil:
	case sl.isAsking:
		return
	case sl.hasOpenedNothing(former, ends):
		s.log.Log(eventFormerUnused, "Slot", slotNames[i], "Former", former.Holder, "Renewed", sl.renewal.At)
		submit(sl.tenure.FinishSettling())
		return
	case sl.sealAttempts >= maxSealAttempts, len(ends) > len(former.Witnesses) && sl.renewal != nil:
		s.log.Log(eventDeductionBegan, "Slot", slotNames[i], "Former", former.Holder, "Witnesses", former.Witnesses, "Renewal", sl.renewal, "Ended", ended)
		submit(sl.tenure.Deduct())
		return
	case sl.isAskDue:
		sl.isAskDue = false
		sl.sealAttempts++
		r.askFormer(s, i, former)
		return
	default:
		return // The next read asks again.
	}
	programs := slices.Sorted(maps.Keys(sl.openings))
	if slices.ContainsFunc(programs, func(program string) bool { return !right.IsLifted(program) }) {
		submit(sl.tenure.Lift(programs, r.storeTime()))
		return
	}
	isDone := true
	for _, program := range programs {
		isDone = r.charge(s, program, sl.openings[program]) && isDone
	}
	if isDone {
		s.log.Log(eventOpeningsRecorded, "Tenure", former.Tenure, "Programs", len(programs))
		submit(sl.tenure.FinishSettling())
	}
}

// charge writes what the program used without a row to its row. It reports whether that
// is written.
func (r *rights) charge(s *state, name string, tokens int64) bool {
	p := s.program(name)
	if p.ledger.isCharged() {
		return true
	}
	if p.charge == nil && r.chargesLeft > 0 {
		r.chargesLeft--
		p.charge = &tokens
		p.lastUsed = time.Now()
		s.continueCharge(name, p)
	}
	return false
}

// continueCharge writes the program's charge unless its row has it.
func (s *state) continueCharge(program string, p *programState) {
	switch {
	case p.charge == nil || p.isWriting:
	case p.ledger.isCharged():
		p.charge = nil
		s.rights.step(s, opener.Slot(program))
	default:
		next := p.ledger.chargedRow(*p.charge)
		if value, err := cbor.Marshal(next); err == nil {
			s.write(program, p, next, value, time.Now().Add(rightWriteTimeout))
		}
	}
}

// isOpen reports whether the program is used without a row.
func (r *rights) isOpen(program string) bool {
	if r == nil {
		return false
	}
	t := r.slots[opener.Slot(program)].tenure
	return t != nil && slices.Contains(t.Unrecorded(), program)
}

// reserve reserves the tokens of a turn without a row while the store is away.
func (r *rights) reserve(s *state, p *programState, m openMessage, now time.Time) opener.Result {
	if r == nil || !r.IsStoreAway() || !r.isShareCommon {
		return opener.Refused
	}
	t := r.slots[opener.Slot(m.Program)].tenure
	if t == nil {
		return opener.Refused
	}
	isNew := !r.isOpen(m.Program)
	result := t.Reserve(opener.Program{Name: m.Program, Budget: m.Budget, HasRow: p.ledger.hasRow()}, m.Turn, m.Tokens, now)
	switch {
	case result == opener.Granted && isNew:
		r.CountOpened()
	case result == opener.Unreported && !p.isReporting:
		p.isReporting = true
		witnesses, allowance := t.Unreported(m.Program)
		r.run(func() { r.report(s, m, t.ID(), witnesses, allowance) })
	}
	return result
}

func (r *rights) handleReported(s *state, m openingReported) {
	for i := range r.slots {
		if t := r.slots[i].tenures[m.tenure]; t != nil {
			for _, witness := range m.acknowledged {
				t.Acknowledge(m.program, witness, m.allowance)
			}
		}
	}
	if p := s.programs[m.program]; p != nil {
		p.isReporting = false
		s.advance(m.program, p)
	}
}

// settle replaces the reservation of a turn without a row by what it used.
func (r *rights) settle(m settleMessage) {
	if r == nil {
		return
	}
	for _, t := range r.slots[opener.Slot(m.program)].tenures {
		t.Settle(m.program, m.turn, m.used)
	}
}

// lift asks the holder of the right to lift the program, and charges what it states.
func (s *state) lift(program string, p *programState, deadline time.Time) {
	if s.rights == nil || p.isLifting || p.charge != nil {
		return
	}
	p.isLifting = true
	holder := s.rights.slots[opener.Slot(program)].current.Right.Holder
	in := LiftRequest{Program: program, Mark: p.ledger.mark}
	s.rights.run(func() { s.rights.askToLift(s, holder, in, deadline) })
}

func (s *state) handleLifted(m programLifted) {
	p := s.programs[m.program]
	if p == nil {
		return
	}
	p.isLifting = false
	if !m.IsKnown {
		status := Unavailable
		if m.IsRefused {
			status = Withheld
		}
		s.refuseWaiting(p, status)
		return
	}
	if !p.ledger.isCharged() && p.charge == nil {
		p.charge = &m.Tokens
		s.continueCharge(m.program, p)
	}
}

// liftHere lifts the program if this process holds the right.
func (r *rights) liftHere(s *state, in LiftRequest) LiftResponse {
	sl := &r.slots[opener.Slot(in.Program)]
	right, isHolder := sl.right()
	if !isHolder || r.IsStoreAway() {
		return LiftResponse{} // A program that is being lifted isn't used without a row.
	}
	if !sl.tenure.CanLift(in.Program, in.Mark) {
		// Only a deduction lasts longer than a turn can wait.
		return LiftResponse{IsRefused: right.Former == nil}
	}
	tokens, isKnown := sl.tenure.Committed(in.Program, in.Mark)
	if !isKnown && !sl.isWriting && !right.IsLifted(in.Program) {
		if w, ok := sl.tenure.Lift([]string{in.Program}, r.storeTime()); ok {
			r.write(s, opener.Slot(in.Program), w)
		}
	}
	return LiftResponse{IsKnown: isKnown, Tokens: tokens}
}

// seal answers a successor's request as the former holder or as a witness.
func (r *rights) seal(in SealRequest) map[string]int64 {
	if in.Holder != in.Process {
		return r.witness.Seal(in.Tenure, time.Now())
	}
	for i := range r.slots {
		if t := r.slots[i].tenures[in.Tenure]; t != nil {
			return t.Seal()
		}
	}
	return map[string]int64{}
}
