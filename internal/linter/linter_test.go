package linter_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/linter"
	"github.com/wigeonstand/wigeonstand/internal/matcher"
)

const programRequests = 10

// newConfiguration returns a configuration without faults. Each call returns a new one.
func newConfiguration() *matcher.Configuration {
	return &matcher.Configuration{
		Version: 7, Limits: matcher.Limits{MaxBodyBytes: 1 << 20}, HasAccounts: true,
		Services: []matcher.Service{{Name: "s1"}, {Name: "s2"}},
		Routes: []matcher.Route{
			{Name: "root", Host: "h", Prefix: "/", Kind: matcher.Safe, MaxAttempts: 3, Timeout: time.Second, TargetLatency: time.Second, Services: weigh("s1", 1)},
			{Name: "chat", Host: "h", Prefix: "/chat/", Kind: matcher.Stream, MaxAttempts: 1, Retained: true, Retention: time.Minute, Services: weigh("s1", 90, "s2", 10)},
		},
		Accounts: []matcher.AccountKeys{
			{Account: matcher.Account{Name: "acme", Rate: 1, Burst: 5}, Keys: []string{"secret-1", "secret-2"}},
			{Account: matcher.Account{Name: "free"}, Keys: []string{"secret-3"}},
		},
	}
}

func weigh(pairs ...any) []matcher.WeightedService {
	var services []matcher.WeightedService
	for i := 0; i < len(pairs); i += 2 {
		services = append(services, matcher.WeightedService{Service: pairs[i].(string), Weight: pairs[i+1].(int)})
	}
	return services
}

// outcome is a table-driven case: a change of the configuration without faults, and the findings.
type outcome struct {
	name   string
	change func(c *matcher.Configuration)
	// want has "RULE: TEXT" or "RULE: TEXT | EFFECT" for each finding, with the texts abridged.
	want []string
}

func runCases(t *testing.T, cases []outcome, find func(c *matcher.Configuration) []linter.Finding) {
	t.Helper()
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newConfiguration()
			tc.change(c)
			var got []string
			for _, f := range find(c) {
				text := fmt.Sprintf("%s %s: %s", f.Severity, f.Rule, f.Text)
				if f.Effect != "" {
					text += " | " + f.Effect
				}
				if strings.Contains(text, "secret") {
					t.Errorf("a finding holds a key: %s", text)
				}
				got = append(got, text)
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against faults that come into force unseen, and against warnings about sound entries:
// the cases without findings are the nearest ones that are right.
func TestRules(t *testing.T) {
	route := func(change func(r *matcher.Route)) func(c *matcher.Configuration) {
		return func(c *matcher.Configuration) { change(&c.Routes[1]) }
	}
	account := func(rate, burst float64, keys ...string) func(c *matcher.Configuration) {
		return func(c *matcher.Configuration) {
			c.Accounts[0] = matcher.AccountKeys{Account: matcher.Account{Name: "acme", Rate: rate, Burst: burst}, Keys: keys}
		}
	}
	runCases(t, []outcome{
		{"sound", func(*matcher.Configuration) {}, nil},
		{"unknown service", route(func(r *matcher.Route) {
			r.Services[1].Service = "gone"
			r.Services = append(r.Services, weigh("s2", 1)...)
		}), []string{
			`Error UnknownService: route "chat" names the unknown service "gone"`,
		}},
		{"prefix without the first slash", route(func(r *matcher.Route) { r.Prefix = "chat/" }), []string{`Error InvalidPrefix: route "chat": prefix "chat/" does not begin and end with a slash`}},
		{"prefix without the last slash", route(func(r *matcher.Route) { r.Prefix = "/chat" }), []string{`Error InvalidPrefix: route "chat": prefix "/chat" does not begin and end with a slash`}},
		{"no prefix", route(func(r *matcher.Route) { r.Prefix = "" }), []string{`Error InvalidPrefix: route "chat": prefix "" does not begin and end with a slash`}},
		{"no weight", route(func(r *matcher.Route) { r.Services = weigh("s1", 0, "s2", -1) }), []string{`Error NoWeight: route "chat": no service has a weight above zero; all requests fail`}},
		{"one weight", route(func(r *matcher.Route) { r.Services = weigh("s1", 0, "s2", 1) }), nil},
		{"hidden", func(c *matcher.Configuration) { c.Routes[1].Host, c.Routes[1].Prefix = "H", "/" }, []string{
			`Warning HiddenRoute: route "chat" never matches: route "root" has the same host "H" and prefix "/"`,
		}},
		{"other host", func(c *matcher.Configuration) { c.Routes[1].Host, c.Routes[1].Prefix = "h2", "/" }, nil},
		{"host with port", route(func(r *matcher.Route) { r.Host = "h:80" }), []string{`Warning HostWithPort: route "chat": never matches, because its host "h:80" has a port`}},
		{"unused service", route(func(r *matcher.Route) { r.Services = weigh("s1", 1) }), []string{`Warning UnusedService: service "s2" is named by no route`}},
		{"no keys", account(1, 5), []string{`Warning AccountWithoutKeys: account "acme": no keys; no request can belong to it`}},
		{"target above timeout", route(func(r *matcher.Route) { r.Timeout, r.TargetLatency = time.Second, 1001*time.Millisecond }), []string{
			`Warning TargetAboveTimeout: route "chat": the latency target of 1.001s exceeds the timeout of 1s`,
		}},
		{"target without timeout", route(func(r *matcher.Route) { r.TargetLatency = time.Hour }), nil},
		{"unsafe attempts", route(func(r *matcher.Route) { r.Kind, r.MaxAttempts = matcher.Unsafe, 2 }), []string{
			`Warning UnsafeAttempts: route "chat": 2 attempts, but its requests are neither safe nor resumable; only those that have certainly not run are repeated`,
		}},
		{"resumable attempts", route(func(r *matcher.Route) { r.Resumable, r.MaxAttempts = true, 2 }), nil},
		{"burst without rate", account(0, 5, "k"), []string{`Warning BurstWithoutRate: account "acme": a burst of 5 without a rate is ignored; the account has no limit`}},
		{"small quota", account(1, 4.5, "k"), []string{`Warning QuotaBelowProgram: account "acme": the quota of 9.5 requests in 5s (1/s + 4.5) is below the 10 of one program`}},
		{"quota of one program", account(2, 0, "k"), nil},
		{"no body limit", func(c *matcher.Configuration) { c.Limits.MaxBodyBytes = 0 }, []string{"Warning NoBodyLimit: the body limit is 0 bytes; the instances' default is used instead"}},
		{"retention without time", route(func(r *matcher.Route) { r.Retention = 0 }), []string{`Warning RetentionWithoutTime: route "chat": turns are retained, but without a time; the instances' default is used`}},
		{"time without retention", route(func(r *matcher.Route) { r.Retained = false }), nil},
	}, func(c *matcher.Configuration) []linter.Finding { return linter.Check(c, programRequests) })
}

// Guards against differences that stay unseen, and against differences where requests are served
// as before.
func TestCompare(t *testing.T) {
	const perRank = "its requests rank differently among those that wait; 0 is the highest"
	runCases(t, []outcome{
		{"order and names", func(c *matcher.Configuration) {
			c.Routes[0], c.Routes[1] = c.Routes[1], c.Routes[0]
			c.Routes[0].Name, c.Routes[0].Host = "talk", "H"
			c.Accounts[0], c.Accounts[1] = c.Accounts[1], c.Accounts[0]
			c.Accounts[1].Keys = []string{"secret-2", "secret-1", "secret-2"}
		}, nil},
		{"same version", func(c *matcher.Configuration) { c.Version = 6 }, []string{"Error VersionNotRisen: version 6 is not above 6, the one in force | no instance applies it"}},
		{"quota lowered", func(c *matcher.Configuration) { c.Accounts[0].Rate = 0.5 }, []string{
			`Difference QuotaLowered: account "acme": quota lowered from 1/s + 5 to 0.5/s + 5 | more than 7.5 requests in 5s are refused`,
		}},
		{"quota introduced", func(c *matcher.Configuration) { c.Accounts[1].Rate = 4 }, []string{
			`Difference QuotaLowered: account "free": quota lowered from unlimited to 4/s + 0 | more than 20 requests in 5s are refused`,
		}},
		{"quota raised", func(c *matcher.Configuration) { c.Accounts[0].Burst = 6 }, []string{
			`Difference QuotaRaised: account "acme": quota raised from 1/s + 5 to 1/s + 6 | up to 11 requests in 5s are served`,
		}},
		{"quota lifted", func(c *matcher.Configuration) { c.Accounts[0].Rate = 0 }, []string{
			`Difference QuotaRaised: account "acme": quota raised from 1/s + 5 to unlimited | no request is refused for the quota`,
		}},
		{"ignored burst", func(c *matcher.Configuration) { c.Accounts[1].Burst = 6 }, nil},
		{"keys", func(c *matcher.Configuration) { c.Accounts[0].Keys = []string{"secret-1", "secret-4"} }, []string{
			`Difference KeysWithdrawn: account "acme": keys withdrawn: 1 (SHA-256 f4b6bb65) | requests with them are refused, except on public routes`,
			`Difference KeysAdded: account "acme": keys added: 1 (SHA-256 d3922561) | requests with them are served`,
		}},
		{"account removed", func(c *matcher.Configuration) { c.Accounts = c.Accounts[:1] }, []string{
			`Difference AccountRemoved: account "free" is removed | no other account can continue its turns`,
			`Difference KeysWithdrawn: account "free": keys withdrawn: 1 (SHA-256 2c7d3470) | requests with them are refused, except on public routes`,
		}},
		{"account renamed", func(c *matcher.Configuration) { c.Accounts[1].Name = "paid" }, []string{
			`Difference AccountRemoved: account "free" is removed | no other account can continue its turns`,
			`Difference KeysMoved: account "free": keys moved to another account: 1 (SHA-256 2c7d3470) | their callers get that account's quota, priority and turns`,
			`Difference AccountAdded: account "paid" is added with quota unlimited`,
			`Difference KeysMoved: account "paid": keys taken over from another account: 1 (SHA-256 2c7d3470) | their callers get that account's quota, priority and turns`,
		}},
		{"list of accounts removed", func(c *matcher.Configuration) { c.HasAccounts, c.Accounts = false, nil }, []string{
			`Warning AccountsGone: the list of accounts is gone | keys are no longer checked; every caller is served`,
		}},
		{"account's priority", func(c *matcher.Configuration) { c.Accounts[0].HasPriority = true }, []string{
			`Difference Changed: account "acme": priority changed from that of the route to 0 | ` + perRank,
		}},
		{"route gone", func(c *matcher.Configuration) { c.Routes = c.Routes[:1] }, []string{
			`Difference RouteGone: route "chat": h/chat/ is gone | its requests match route "root"`,
		}},
		{"route gone without another", func(c *matcher.Configuration) { c.Routes = c.Routes[1:] }, []string{
			`Difference RouteGone: route "root": h/ is gone | its requests match no route and are refused`,
		}},
		{"routes added", func(c *matcher.Configuration) {
			c.Routes = append(c.Routes, matcher.Route{Name: "new", Host: "h", Prefix: "/chat/new/", Services: weigh("s2", 1)}, matcher.Route{Name: "other", Host: "h2", Prefix: "/", Services: weigh("s2", 1)})
		}, []string{
			`Difference RouteAdded: route "new": h/chat/new/ is added | requests that matched route "chat" go to s2 100 %`,
			`Difference RouteAdded: route "other": h2/ is added | requests that were refused go to s2 100 %`,
		}},
		{"route moved", func(c *matcher.Configuration) { c.Routes[0].Services = weigh("s2", 1) }, []string{
			`Difference Changed: route "root": service changed from s1 100 % to s2 100 % | requests go to other services`,
		}},
		{"split", func(c *matcher.Configuration) { c.Routes[1].Services = weigh("s1", 3, "s2", 1) }, []string{
			`Difference Changed: route "chat": split changed from s1 90 %, s2 10 % to s1 75 %, s2 25 % | requests are distributed in the new proportions`,
		}},
		{"same split", func(c *matcher.Configuration) { c.Routes[1].Services = weigh("s2", 1, "s1", 9) }, nil},
		{"timeouts and priority", func(c *matcher.Configuration) {
			c.Routes[0].Timeout, c.Routes[1].Timeout, c.Routes[1].Priority = 0, time.Second, 2
		}, []string{
			`Difference Changed: route "root": timeout changed from 1s to 0s | requests may take longer before they fail`,
			`Difference Changed: route "chat": timeout changed from 0s to 1s | requests that take longer than this fail`,
			`Difference Changed: route "chat": priority changed from 0 to 2 | ` + perRank,
		}},
		{"limits", func(c *matcher.Configuration) { c.Limits.MaxBodyBytes, c.Services[0].Slots = 5, 8 }, []string{
			`Difference Changed: service "s1": slots changed from 0 to 8 | engines are taken to run so many requests at once`,
			`Difference Changed: limits: body limit changed from 1048576 to 5 | longer bodies are refused`,
		}},
	}, func(c *matcher.Configuration) []linter.Finding {
		current := newConfiguration()
		current.Version = 6
		return linter.Compare(current, c)
	})
}
