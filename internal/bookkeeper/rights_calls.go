package bookkeeper

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/messenger"
	"github.com/wigeonstand/wigeonstand/internal/opener"
)

// Methods that instances call on each other for openings without a row.
const (
	methodReport = "ReportOpening"
	methodForget = "ForgetOpenings"
	methodSeal   = "SealTenure"
	methodLift   = "LiftProgram"
)

// ReportRequest tells a witness that a program is opened without a row.
type ReportRequest struct {
	// Process is the intended recipient; another process may now run at its address.
	Process   string `cbor:"1,keyasint"`
	Tenure    string `cbor:"2,keyasint"`
	Program   string `cbor:"3,keyasint"`
	Allowance int64  `cbor:"4,keyasint"`
}

// ReportResponse states whether the witness knows the opening.
type ReportResponse struct {
	IsAcknowledged bool `cbor:"1,keyasint"`
}

// ForgetRequest tells a witness which openings are recorded.
type ForgetRequest struct {
	Tenure   string   `cbor:"1,keyasint"`
	Programs []string `cbor:"2,keyasint"`
}

// ForgetResponse is the response to a ForgetRequest.
type ForgetResponse struct{}

// SealRequest asks the former holder of a right, or one of its witnesses, for the
// openings of a tenure, which may have no more of them.
type SealRequest struct {
	Process string `cbor:"1,keyasint"`
	Tenure  string `cbor:"2,keyasint"`
	Holder  string `cbor:"3,keyasint"`
}

// SealResponse has the tokens that may have been used without a row, by program.
type SealResponse struct {
	IsKnown  bool             `cbor:"1,keyasint"`
	Openings map[string]int64 `cbor:"2,keyasint,omitempty"`
}

// LiftRequest asks the holder of a right to open a program no more.
type LiftRequest struct {
	Program string `cbor:"1,keyasint"`
	// Mark is that of the program's row. Key 2 was used by earlier versions.
	Mark int64 `cbor:"3,keyasint,omitempty"`
}

// LiftResponse states what the program used, or may still use, without a row, if that is
// known by now.
type LiftResponse struct {
	IsKnown bool  `cbor:"1,keyasint"`
	Tokens  int64 `cbor:"2,keyasint,omitempty"`
	// IsRefused is true if it will not be known soon.
	IsRefused bool `cbor:"3,keyasint,omitempty"`
}

var errUnknownProcess = errors.New("the process is not a known instance")

// The messages of the actor for these calls.
type (
	reportMessage struct {
		ReportRequest
		reply chan<- bool
	}
	forgetMessage struct{ ForgetRequest }
	sealMessage   struct {
		SealRequest
		reply chan<- map[string]int64
	}
	liftMessage struct {
		LiftRequest
		reply chan<- LiftResponse
	}
)

// rightsHandlers returns the handlers of calls that concern rights, by method.
func (k *Bookkeeper) rightsHandlers() map[string]messenger.Handler {
	return map[string]messenger.Handler{
		methodReport: messenger.Handle(k.reportOpening),
		methodForget: messenger.Handle(func(_ context.Context, in ForgetRequest) (ForgetResponse, error) {
			k.send(forgetMessage{in})
			return ForgetResponse{}, nil
		}),
		methodSeal: messenger.Handle(k.sealTenure),
		methodLift: messenger.Handle(k.liftProgram),
	}
}

// await returns what the actor replies.
func await[T any](ctx context.Context, reply <-chan T) (out T, err error) {
	select {
	case out = <-reply:
		return out, nil
	case <-ctx.Done():
		return out, context.Cause(ctx)
	}
}

func (k *Bookkeeper) reportOpening(ctx context.Context, in ReportRequest) (ReportResponse, error) {
	if in.Process != k.holder || k.readRights == nil {
		return ReportResponse{}, nil
	}
	reply := make(chan bool, 1)
	k.send(reportMessage{ReportRequest: in, reply: reply})
	isAcknowledged, err := await(ctx, reply)
	return ReportResponse{IsAcknowledged: isAcknowledged}, err
}

func (k *Bookkeeper) sealTenure(ctx context.Context, in SealRequest) (SealResponse, error) {
	if in.Process != k.holder || k.readRights == nil {
		return SealResponse{}, nil
	}
	reply := make(chan map[string]int64, 1)
	k.send(sealMessage{SealRequest: in, reply: reply})
	openings, err := await(ctx, reply)
	return SealResponse{IsKnown: err == nil, Openings: openings}, err
}

func (k *Bookkeeper) liftProgram(ctx context.Context, in LiftRequest) (LiftResponse, error) {
	if k.readRights == nil {
		return LiftResponse{}, nil
	}
	reply := make(chan LiftResponse, 1)
	k.send(liftMessage{LiftRequest: in, reply: reply})
	return await(ctx, reply)
}

// StoreLost offers the turns that wait for the store to be opened without a row.
func (k *Bookkeeper) StoreLost() { k.send(storeLost{}) }

// runRights reads the rights and renews those of this process until ctx ends.
func (k *Bookkeeper) runRights(ctx context.Context) {
	var work sync.WaitGroup
	work.Go(func() { repeat(ctx, rightsInterval, k.readRights) })
	repeat(ctx, renewalInterval, k.renewRights)
	work.Wait()
}

// repeat calls run at the interval until ctx ends.
func repeat(ctx context.Context, interval time.Duration, run func(ctx context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			run(ctx)
		}
	}
}

// call calls the process with the incarnation.
func (r *rights) call(ctx context.Context, process, method string, in, out any) error {
	m, isLive := r.Members.FindIncarnation(process)
	if !isLive {
		return errUnknownProcess
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return r.Caller.Call(ctx, m.Address, method, in, out)
}

// report tells the witnesses of the opening of a program.
func (r *rights) report(s *state, m openMessage, tenure string, witnesses []string, allowance int64) {
	acknowledged := make(chan string, len(witnesses))
	for _, witness := range witnesses {
		r.work.Go(func() {
			var out ReportResponse
			in := ReportRequest{Process: witness, Tenure: tenure, Program: m.Program, Allowance: allowance}
			if err := r.call(r.ctx, witness, methodReport, in, &out); err != nil || !out.IsAcknowledged {
				witness = ""
			}
			acknowledged <- witness
		})
	}
	result := openingReported{program: m.Program, tenure: tenure, allowance: allowance}
	for range witnesses {
		if witness := <-acknowledged; witness != "" {
			result.acknowledged = append(result.acknowledged, witness)
		}
	}
	if len(result.acknowledged) < len(witnesses) {
		pause(r.ctx, peerRetryDelay)
	}
	s.send(result)
}

func (r *rights) forget(witness string, in ForgetRequest) {
	// A witness that still has the openings charges nothing twice.
	_ = r.call(r.ctx, witness, methodForget, in, &ForgetResponse{})
}

// askFormer asks the former holder and its witnesses for the openings, and reads the renewal of
// the holder if none answers.
func (r *rights) askFormer(s *state, i int, former opener.Former) {
	sl := &r.slots[i]
	if former.Holder == s.holder {
		sl.openings = r.seal(SealRequest{Process: s.holder, Tenure: former.Tenure, Holder: former.Holder})
		return
	}
	for _, witness := range former.Witnesses {
		if witness == s.holder {
			sl.openings = r.witness.Seal(former.Tenure, time.Now())
			return
		}
	}
	sl.isAsking = true
	r.run(func() {
		result := formerSealed{slot: i, former: former.Tenure}
		for _, process := range append([]string{former.Holder}, former.Witnesses...) {
			var out SealResponse
			in := SealRequest{Process: process, Tenure: former.Tenure, Holder: former.Holder}
			if err := r.call(r.ctx, process, methodSeal, in, &out); err != nil || !out.IsKnown {
				continue
			}
			if result.openings = out.Openings; result.openings == nil {
				result.openings = map[string]int64{}
			}
			break
		}
		if result.openings == nil {
			result.renewal = r.renewalOf(r.ctx, former.Holder)
		}
		s.send(result)
	})
}

// askToLift asks the holder of the right to lift the program until it states what was
// used without a row, or until the deadline.
func (r *rights) askToLift(s *state, holder string, in LiftRequest, deadline time.Time) {
	ctx, cancel := context.WithDeadline(r.ctx, deadline)
	defer cancel()
	for {
		out, err := r.askOnce(ctx, s, holder, in)
		if (err == nil && (out.IsKnown || out.IsRefused)) || ctx.Err() != nil {
			s.send(programLifted{program: in.Program, LiftResponse: out})
			return
		}
		if err != nil {
			r.checkBookkeeper(ctx, in.Program)
		}
		pause(ctx, peerRetryDelay)
	}
}

// checkBookkeeper avoids the bookkeeper of the program's slot if it does not answer. The program's turns come
// here instead, but this process takes the right only once it is the bookkeeper by its own list, which
// keeps members that are away for long.
func (r *rights) checkBookkeeper(ctx context.Context, program string) {
	m := r.Members.Bookkeepers(slotKey(program))[0]
	if m.Instance == r.Members.Self().Instance {
		return
	}
	ping := func() error {
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		return r.Caller.Call(ctx, m.Address, methodPing, Ping{}, &Ping{})
	}
	err := ping()
	if errors.Is(err, messenger.ErrStale) {
		err = ping()
	}
	if err != nil && ctx.Err() == nil {
		r.Members.Suspect(m.Instance)
	}
}

// pause waits before a call that failed is repeated, and until ctx ends at most.
func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (r *rights) askOnce(ctx context.Context, s *state, holder string, in LiftRequest) (out LiftResponse, err error) {
	if holder == s.holder {
		reply := make(chan LiftResponse, 1)
		s.send(liftMessage{LiftRequest: in, reply: reply})
		return await(ctx, reply)
	}
	err = r.call(ctx, holder, methodLift, in, &out)
	return out, err
}
