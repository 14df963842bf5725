// Package allotter keeps the quotas of client accounts over all instances. Each request of an
// account with a quota needs a permit, which the two instances with the highest rendezvous
// hashes for the account issue, each from a token bucket for half of the bound on the account's
// requests in a sliding window. An instance begins to issue an account's permits, with an empty
// bucket, only after all members that may do so are known to have it in their tables of members, so
// that no three instances issue permits of one account at a time. See docs/design/quotas.md.
package allotter

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/wigeonstand/wigeonstand/internal/discoverer"
	"github.com/wigeonstand/wigeonstand/internal/logger"
	"github.com/wigeonstand/wigeonstand/internal/messenger"
)

var (
	eventIssuerUnreachable = logger.Define(5120, "QuotaIssuerUnreachable", log.WarnLevel,
		"an instance that issues permits for the quotas of accounts did not answer",
		"None, if the instance was stopped; otherwise see its log.")
	eventTenureBegan = logger.Define(5121, "QuotaTenureBegan", log.InfoLevel,
		"this instance may issue permits for quotas: its lease is current and its row is in the table of members", "None.")
	eventTenureEnded = logger.Define(5122, "QuotaTenureEnded", log.WarnLevel,
		"this instance was interrupted, could not write its heartbeats or lost its row, and issues no permits for quotas",
		"None, if it is brief; otherwise find out why the instance does not reach the store or gets no processor time.")
	eventTenurePending = logger.Define(5123, "QuotaTenurePending", log.WarnLevel,
		"members may not have this instance in their tables; it issues no permits for the accounts for which they may do so",
		"See whether the named members run and can be reached.")
)

var eventIssuerContested = logger.Define(5124, "QuotaIssuerContested", log.WarnLevel,
	"this instance does not reach an issuer of permits; unless that one takes it back, another one issues half of its part from some seconds on",
	"None, if the instance was stopped; otherwise see its log.")

// pendingLogInterval is the time between two log lines about members that may not have this
// instance in their tables, and from the last change of them to the first one.
const pendingLogInterval = 2 * time.Second

// maxLoggedMembers limits the members that a log line names.
const maxLoggedMembers = 10

// Members selects the issuers of permits.
type Members interface {
	// RowRanking returns the n members with the highest hashes for the key, highest first.
	RowRanking(key string, n int) []discoverer.Member
	// IsCurrent reports whether this instance has written its heartbeats, so that no other
	// instance has deleted its row.
	IsCurrent() bool
	// Rows returns the rows of the members as read last.
	Rows() discoverer.Rows
	// Contest reports whether this instance's own row is or may be contested, and when it was last
	// known not to be any longer.
	Contest() (isContested bool, endedAt time.Time)
	// ContestMember marks the row of a member that this instance does not reach.
	ContestMember(ctx context.Context, row discoverer.Row) error
	Self() discoverer.Member
}

// Caller calls other instances.
type Caller interface {
	Call(ctx context.Context, address netip.AddrPort, method string, in, out any) error
}

// Request asks for a permit for one request of an account.
type Request struct {
	// Account is the account's name, and Version that of the configuration that states its
	// quota of Rate requests a second and Burst more in a window.
	Account     string
	Version     int64
	Rate, Burst float64
	// Program and Route are the IDs of the program, empty if there is none, and the route.
	Program, Route string
	// ID is the ID of the request.
	ID string
	// IsUnderWay is set if the program is known to have had a request before.
	IsUnderWay bool
	// MaxWait is how long the request of a program under way may wait for capacity.
	MaxWait time.Duration
}

// Result is the result of a Request.
type Result string

// The results of requests for permits.
const (
	Granted Result = "Granted"
	// ProgramRefused means that the account has no capacity for a further program, and
	// WindowFull that it has none at all.
	ProgramRefused Result = "ProgramRefused"
	WindowFull     Result = "WindowFull"
	// Unreachable means that no issuer answered.
	Unreachable Result = "Unreachable"
)

// Decision is the decision about a Request.
type Decision struct {
	Result Result
	// Wait is the time until the account will have capacity, if the permit was not granted.
	Wait time.Duration
}

// Allotter issues permits and gets them from other instances. It is safe for concurrent use.
type Allotter struct {
	members Members
	caller  Caller
	limits  Limits
	log     *logger.Logger
	count   func(result Result)
	// start is the time from which the times of windows are counted.
	start time.Time

	mu       sync.Mutex
	tenure   tenure
	needs    needs
	accounts map[string]*account
	// pendingLoggedAt is when the last line about such members was logged.
	pendingLoggedAt time.Time

	client client
}

// Option sets one property of an Allotter.
type Option func(*Allotter)

// WithLogger sets the logger of events.
func WithLogger(l *logger.Logger) Option { return func(a *Allotter) { a.log = l } }

// WithCounter sets the function that counts requests for permits by result.
func WithCounter(count func(result Result)) Option { return func(a *Allotter) { a.count = count } }

// New returns an Allotter.
func New(members Members, caller Caller, limits Limits, options ...Option) *Allotter {
	a := &Allotter{
		members: members, caller: caller, limits: limits, log: logger.Discard(), count: func(Result) {}, start: time.Now(),
		tenure: tenure{members: members, confirmed: map[string]bool{}, takenBackAt: map[string]time.Time{}},
		needs:  needs{}, accounts: map[string]*account{},
		client: newClient(),
	}
	for _, option := range options {
		option(a)
	}
	return a
}

// Handlers returns the handlers of calls from other instances, by method.
func (a *Allotter) Handlers() map[string]messenger.Handler {
	return map[string]messenger.Handler{
		methodIssue: messenger.Handle(func(_ context.Context, in issueRequest) (issueResponse, error) { return a.issue(in), nil }),
		methodIntroduce: messenger.Handle(func(_ context.Context, in introduction) (introductionResponse, error) {
			return a.confirm(in), nil
		}),
		methodIntroduceProcess: messenger.Handle(func(_ context.Context, in processIntroduction) (introductionResponse, error) {
			return a.confirmProcess(in), nil
		}),
	}
}

// Run maintains the right of this instance to issue permits until ctx ends.
func (a *Allotter) Run(ctx context.Context) {
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	for {
		a.maintain(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// maintain does what is due.
func (a *Allotter) maintain(ctx context.Context) {
	if unsure := a.observe(); len(unsure) > 0 {
		go a.introduce(ctx, unsure)
	}
	a.contest(ctx, time.Now())
}

// observe looks at the table of members. It returns those to which this instance must introduce
// itself now.
func (a *Allotter) observe() []discoverer.Row {
	a.mu.Lock()
	defer a.mu.Unlock()
	// What follows from the look is counted from a time after it may have had to wait.
	now := time.Now()
	a.lockedObserve(now)
	a.lockedForget(now)
	a.lockedLogPending(now)
	t := &a.tenure
	if !t.isValid || len(t.unsure) == 0 || now.Sub(t.introducedAt) < introduceInterval {
		return nil
	}
	t.introducedAt = now
	return slices.Clone(t.unsure)
}

// lockedLogPending logs which members may not have this instance in their tables.
func (a *Allotter) lockedLogPending(now time.Time) {
	t := &a.tenure
	if !t.isValid || len(t.unsure) == 0 || now.Sub(t.unsureAt) < pendingLogInterval || now.Sub(a.pendingLoggedAt) < pendingLogInterval {
		return
	}
	a.pendingLoggedAt = now
	names := make([]string, 0, maxLoggedMembers)
	for _, m := range t.unsure[:min(len(t.unsure), maxLoggedMembers)] {
		names = append(names, m.Instance)
	}
	a.log.Log(eventTenurePending, "For", now.Sub(t.unsureAt), "Unsure", len(t.unsure), "Members", names)
}

// Usage describes the accounts for which this instance issues permits.
type Usage struct {
	// Accounts is their number.
	Accounts int
	// Used is the number of permits in the current window, Most how many this instance may
	// issue in a window, and Highest the highest fraction of that used by one account.
	Used, Most, Highest float64
}

// Usage returns the use of the quotas at this issuer.
func (a *Allotter) Usage() Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out Usage
	now := time.Now()
	for name, acct := range a.accounts {
		part := acct.right.part(&a.tenure, name, now)
		if part == 0 {
			continue
		}
		used, most := float64(acct.used.count(now.Sub(a.start))), acct.limits.bound(acct.quota)*part
		out.Accounts++
		out.Used += used
		out.Most += most
		out.Highest = max(out.Highest, used/max(most, 1))
	}
	return out
}

func randomFraction() float64 { return rand.Float64() }
