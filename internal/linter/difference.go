package linter

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/matcher"
)

// shortHashDigits is the number of digits of a key's hash that are shown: enough to find the key
// with "wigeonctl hash-key".
const shortHashDigits = 8

// maxHashes limits the hashes in one finding.
const maxHashes = 4

// comparison collects the differences of two configurations.
type comparison struct {
	current, next *matcher.Configuration
	findings      []Finding
}

// Compare returns the differences of next from the current configuration. Both must have been
// decoded without errors. Entries are compared by what they do: routes by host and prefix, accounts
// by name. Their order and the names of routes don't matter.
func Compare(current, next *matcher.Configuration) []Finding {
	c := &comparison{current: current, next: next}
	c.compareVersions()
	c.compareRoutes()
	c.compareServices()
	c.compareAccounts()
	c.field("limits", "body limit", current.Limits.MaxBodyBytes, next.Limits.MaxBodyBytes, "longer bodies are refused")
	return c.findings
}

func (c *comparison) add(severity Severity, rule, text, effect string) {
	c.findings = append(c.findings, Finding{Severity: severity, Rule: rule, Text: text, Effect: effect})
}

// field reports a value that differs.
func (c *comparison) field(subject, name string, before, after any, effect string) {
	if before != after {
		c.add(Difference, "Changed", fmt.Sprintf("%s: %s changed from %v to %v", subject, name, before, after), effect)
	}
}

// compareVersions reports a version that is not above the current one: instances ignore it.
func (c *comparison) compareVersions() {
	if c.next.Version <= c.current.Version {
		c.add(Error, "VersionNotRisen", fmt.Sprintf("version %d is not above %d, the one in force", c.next.Version, c.current.Version), "no instance applies it")
	}
}

func (c *comparison) compareRoutes() {
	before, after := firstRoutes(c.current), firstRoutes(c.next)
	tableBefore := matcher.New(0, matcher.Limits{}, nil, c.current.Routes)
	tableAfter := matcher.New(0, matcher.Limits{}, nil, c.next.Routes)
	for i := range c.current.Routes {
		r := &c.current.Routes[i]
		if before[scopeOf(r)] != r {
			continue
		}
		if now := after[scopeOf(r)]; now != nil {
			c.compareRoute(r, now)
			continue
		}
		effect := "its requests match no route and are refused"
		if other := tableAfter.Match(r.Host, r.Prefix); other != nil {
			effect = fmt.Sprintf("its requests match route %q", other.Name)
		}
		c.add(Difference, "RouteGone", fmt.Sprintf("route %q: %s%s is gone", r.Name, r.Host, r.Prefix), effect)
	}
	for i := range c.next.Routes {
		r := &c.next.Routes[i]
		if after[scopeOf(r)] != r || before[scopeOf(r)] != nil {
			continue
		}
		effect := "requests that were refused go to " + formatShares(r)
		if other := tableBefore.Match(r.Host, r.Prefix); other != nil {
			effect = fmt.Sprintf("requests that matched route %q go to %s", other.Name, formatShares(r))
		}
		c.add(Difference, "RouteAdded", fmt.Sprintf("route %q: %s%s is added", r.Name, r.Host, r.Prefix), effect)
	}
}

func (c *comparison) compareRoute(before, after *matcher.Route) {
	subject := fmt.Sprintf("route %q", after.Name)
	name, effect := "split", "requests are distributed in the new proportions"
	if !maps.Equal(serviceSet(before), serviceSet(after)) {
		name, effect = "service", "requests go to other services"
	}
	c.field(subject, name, formatShares(before), formatShares(after), effect)
	effect = "requests may take longer before they fail"
	if after.Timeout > 0 && (before.Timeout <= 0 || after.Timeout < before.Timeout) {
		effect = "requests that take longer than this fail"
	}
	c.field(subject, "timeout", before.Timeout, after.Timeout, effect)
	c.field(subject, "latency target", before.TargetLatency, after.TargetLatency, "attempts on safe routes are given up at another time")
	c.field(subject, "priority", before.Priority, after.Priority, "its requests rank differently among those that wait; 0 is the highest")
	c.field(subject, "type", formatKind(before.Kind), formatKind(after.Kind), "decides whether a request may run more than once")
	c.field(subject, "attempts", before.MaxAttempts, after.MaxAttempts, "requests are sent to at most so many endpoints")
	c.field(subject, "resumable", before.Resumable, after.Resumable, "decides whether broken streams are continued elsewhere")
	c.field(subject, "session affinity", before.SessionAffinity, after.SessionAffinity, "decides whether requests prefer endpoints with their prompt")
	c.field(subject, "retained", before.Retained, after.Retained, "decides whether later turns can continue earlier ones")
	c.field(subject, "retention", before.Retention, after.Retention, "new turns are kept for so long")
	c.field(subject, "public", before.Public, after.Public, "decides whether requests without a key are served")
}

// compareServices compares the services in both configurations. Whether one that is added or
// removed matters is seen from the routes.
func (c *comparison) compareServices() {
	before := index(c.current.Services, func(s *matcher.Service) string { return s.Name })
	for _, to := range c.next.Services {
		from := before[to.Name]
		if from == nil {
			continue
		}
		subject := fmt.Sprintf("service %q", to.Name)
		c.field(subject, "connections", from.MaxConnections, to.MaxConnections, "instances keep other numbers of connections to its endpoints")
		c.field(subject, "slots", from.Slots, to.Slots, "engines are taken to run so many requests at once")
		c.field(subject, "tokens per event", from.TokensPerEvent, to.TokensPerEvent, "tokens of streams are counted differently")
	}
}

func (c *comparison) compareAccounts() {
	switch {
	case c.current.HasAccounts && !c.next.HasAccounts:
		c.add(Warning, "AccountsGone", "the list of accounts is gone", "keys are no longer checked; every caller is served")
		return
	case !c.current.HasAccounts && c.next.HasAccounts:
		c.add(Warning, "AccountsIntroduced", "a list of accounts is introduced", "requests without a known key are refused, except on public routes")
	}
	accountName := func(a *matcher.AccountKeys) string { return a.Name }
	before, after := index(c.current.Accounts, accountName), index(c.next.Accounts, accountName)
	ownersBefore, ownersAfter := keyOwners(c.current.Accounts), keyOwners(c.next.Accounts)
	for _, name := range names(before, after) {
		from, to := before[name], after[name]
		subject := fmt.Sprintf("account %q", name)
		switch {
		case to == nil:
			c.add(Difference, "AccountRemoved", subject+" is removed", "no other account can continue its turns")
		case from == nil:
			c.add(Difference, "AccountAdded", fmt.Sprintf("%s is added with quota %s", subject, formatQuota(&to.Account)), "")
		default:
			c.compareQuotas(subject, &from.Account, &to.Account)
			c.field(subject, "priority", formatPriority(&from.Account), formatPriority(&to.Account), "its requests rank differently among those that wait; 0 is the highest")
		}
		c.compareKeys(subject, from, ownersAfter, "withdrawn", "requests with them are refused, except on public routes", "moved to another account")
		c.compareKeys(subject, to, ownersBefore, "added", "requests with them are served", "taken over from another account")
	}
}

func (c *comparison) compareQuotas(subject string, from, to *matcher.Account) {
	if formatQuota(from) == formatQuota(to) {
		return
	}
	limit := func(a *matcher.Account) float64 {
		if a.Rate <= 0 {
			return math.Inf(1)
		}
		return windowQuota(a)
	}
	verb, effect := "changed", "as many requests in "+quotaWindow.String()+" as before"
	switch {
	case limit(to) < limit(from):
		verb, effect = "lowered", fmt.Sprintf("more than %g requests in %v are refused", limit(to), quotaWindow)
	case math.IsInf(limit(to), 1):
		verb, effect = "raised", "no request is refused for the quota"
	case limit(to) > limit(from):
		verb, effect = "raised", fmt.Sprintf("up to %g requests in %v are served", limit(to), quotaWindow)
	}
	c.add(Difference, "Quota"+strings.ToUpper(verb[:1])+verb[1:], fmt.Sprintf("%s: quota %s from %s to %s", subject, verb, formatQuota(from), formatQuota(to)), effect)
}

// compareKeys reports the keys of the account that the other configuration has not, or has in
// another account.
func (c *comparison) compareKeys(subject string, a *matcher.AccountKeys, others map[string]string, verb, effect, moved string) {
	if a == nil {
		return
	}
	var lost, elsewhere []string
	for _, key := range slices.Compact(slices.Sorted(slices.Values(a.Keys))) {
		owner, isKnown := others[key]
		switch {
		case !isKnown:
			lost = append(lost, compiler.HashKey(key)[:shortHashDigits])
		case owner != a.Name:
			elsewhere = append(elsewhere, compiler.HashKey(key)[:shortHashDigits])
		}
	}
	if len(lost) > 0 {
		c.add(Difference, "Keys"+strings.ToUpper(verb[:1])+verb[1:], fmt.Sprintf("%s: keys %s: %d (%s)", subject, verb, len(lost), formatHashes(lost)), effect)
	}
	if len(elsewhere) > 0 {
		c.add(Difference, "KeysMoved", fmt.Sprintf("%s: keys %s: %d (%s)", subject, moved, len(elsewhere), formatHashes(elsewhere)), "their callers get that account's quota, priority and turns")
	}
}

func keyOwners(accounts []matcher.AccountKeys) map[string]string {
	owners := map[string]string{}
	for _, a := range accounts {
		for _, key := range a.Keys {
			owners[key] = a.Name
		}
	}
	return owners
}

// index returns the entries by name. The last one of a name is the one that is in force.
func index[T any](entries []T, name func(*T) string) map[string]*T {
	byName := make(map[string]*T, len(entries))
	for i := range entries {
		byName[name(&entries[i])] = &entries[i]
	}
	return byName
}

// names returns the sorted names of both maps.
func names[T any](before, after map[string]*T) []string {
	all := slices.AppendSeq(slices.Collect(maps.Keys(before)), maps.Keys(after))
	slices.Sort(all)
	return slices.Compact(all)
}

func formatHashes(hashes []string) string {
	text := "SHA-256 " + strings.Join(hashes[:min(len(hashes), maxHashes)], ", ")
	if len(hashes) > maxHashes {
		text += ", ..."
	}
	return text
}

func formatPriority(a *matcher.Account) string {
	if !a.HasPriority {
		return "that of the route"
	}
	return fmt.Sprint(a.Priority)
}

func formatKind(k matcher.Kind) string {
	return map[matcher.Kind]string{matcher.Safe: "safe", matcher.Unsafe: "unsafe", matcher.Stream: "streaming"}[k]
}

// serviceSet returns the services of the route that get requests.
func serviceSet(r *matcher.Route) map[string]bool {
	set := map[string]bool{}
	for _, s := range r.Services {
		if s.Weight > 0 {
			set[s.Service] = true
		}
	}
	return set
}

// formatShares returns the services of the route with their shares, the largest first.
func formatShares(r *matcher.Route) string {
	weights, total := map[string]int{}, 0
	for _, s := range r.Services {
		weights[s.Service] += max(s.Weight, 0)
		total += max(s.Weight, 0)
	}
	if total == 0 {
		return "no service"
	}
	services := slices.SortedFunc(maps.Keys(serviceSet(r)), func(a, b string) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(a, b))
	})
	for i, s := range services {
		services[i] = fmt.Sprintf("%s %.4g %%", s, 100*float64(weights[s])/float64(total))
	}
	return strings.Join(services, ", ")
}
