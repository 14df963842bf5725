package linter

import (
	"fmt"
	"strings"

	"github.com/wigeonstand/wigeonstand/internal/matcher"
)

// findUnknownServices finds routes to services that are not listed. Such services have no limit
// of connections and no engine.
func findUnknownServices(c *matcher.Configuration) []string {
	known := map[string]bool{}
	for _, s := range c.Services {
		known[s.Name] = true
	}
	var texts []string
	for _, r := range c.Routes {
		for _, s := range r.Services {
			if !known[s.Service] {
				texts = append(texts, fmt.Sprintf("route %q names the unknown service %q", r.Name, s.Service))
			}
		}
	}
	return texts
}

func findInvalidPrefixes(c *matcher.Configuration) []string {
	return eachRoute(c, func(r *matcher.Route) string {
		if strings.HasPrefix(r.Prefix, "/") && strings.HasSuffix(r.Prefix, "/") {
			return ""
		}
		return fmt.Sprintf("prefix %q does not begin and end with a slash", r.Prefix)
	})
}

func findRoutesWithoutWeight(c *matcher.Configuration) []string {
	return eachRoute(c, func(r *matcher.Route) string {
		if r.PickService(0) != "" {
			return ""
		}
		return "no service has a weight above zero; all requests fail"
	})
}

// findHiddenRoutes finds routes that come after another one of the same host and prefix.
func findHiddenRoutes(c *matcher.Configuration) []string {
	first := firstRoutes(c)
	var texts []string
	for i := range c.Routes {
		r := &c.Routes[i]
		if other := first[scopeOf(r)]; other != r {
			texts = append(texts, fmt.Sprintf("route %q never matches: route %q has the same host %q and prefix %q", r.Name, other.Name, r.Host, r.Prefix))
		}
	}
	return texts
}

// findHostsWithPort finds routes with a port in their host. Matching ignores the port of a request,
// so that they match none.
func findHostsWithPort(c *matcher.Configuration) []string {
	return eachRoute(c, func(r *matcher.Route) string {
		if !strings.Contains(r.Host, ":") {
			return ""
		}
		return fmt.Sprintf("never matches, because its host %q has a port", r.Host)
	})
}

func findUnusedServices(c *matcher.Configuration) []string {
	used := map[string]bool{}
	for _, r := range c.Routes {
		for _, s := range r.Services {
			used[s.Service] = true
		}
	}
	var texts []string
	for _, s := range c.Services {
		if !used[s.Name] {
			texts = append(texts, fmt.Sprintf("service %q is named by no route", s.Name))
		}
	}
	return texts
}

func findAccountsWithoutKeys(c *matcher.Configuration) []string {
	return eachAccount(c, func(a *matcher.AccountKeys) string {
		if len(a.Keys) > 0 {
			return ""
		}
		return "no keys; no request can belong to it"
	})
}

func findTargetsAboveTimeout(c *matcher.Configuration) []string {
	return eachRoute(c, func(r *matcher.Route) string {
		if r.Timeout <= 0 || r.TargetLatency <= r.Timeout {
			return ""
		}
		return fmt.Sprintf("the latency target of %v exceeds the timeout of %v", r.TargetLatency, r.Timeout)
	})
}

// findUnsafeAttempts finds routes with attempts that are made only after failures that prove
// that the request has not run.
func findUnsafeAttempts(c *matcher.Configuration) []string {
	return eachRoute(c, func(r *matcher.Route) string {
		if r.Kind == matcher.Safe || r.Resumable || r.MaxAttempts <= 1 {
			return ""
		}
		return fmt.Sprintf("%d attempts, but its requests are neither safe nor resumable; only those that have certainly not run are repeated", r.MaxAttempts)
	})
}

func findBurstsWithoutRate(c *matcher.Configuration) []string {
	return eachAccount(c, func(a *matcher.AccountKeys) string {
		if a.Rate > 0 || a.Burst <= 0 {
			return ""
		}
		return fmt.Sprintf("a burst of %g without a rate is ignored; the account has no limit", a.Burst)
	})
}

func findQuotasBelow(programRequests float64) func(c *matcher.Configuration) []string {
	return func(c *matcher.Configuration) []string {
		return eachAccount(c, func(a *matcher.AccountKeys) string {
			if a.Rate <= 0 || windowQuota(&a.Account) >= programRequests {
				return ""
			}
			return fmt.Sprintf("the quota of %g requests in %v (%s) is below the %g of one program", windowQuota(&a.Account), quotaWindow, formatQuota(&a.Account), programRequests)
		})
	}
}

func findNoBodyLimit(c *matcher.Configuration) []string {
	if c.Limits.MaxBodyBytes > 0 {
		return nil
	}
	return []string{fmt.Sprintf("the body limit is %d bytes; the instances' default is used instead", c.Limits.MaxBodyBytes)}
}

func findRetentionWithoutTime(c *matcher.Configuration) []string {
	return eachRoute(c, func(r *matcher.Route) string {
		if !r.Retained || r.Retention > 0 {
			return ""
		}
		return "turns are retained, but without a time; the instances' default is used"
	})
}

// eachRoute returns the non-empty texts of find with the names of the routes.
func eachRoute(c *matcher.Configuration, find func(r *matcher.Route) string) []string {
	return each(c.Routes, func(r *matcher.Route) string { return fmt.Sprintf("route %q", r.Name) }, find)
}

// eachAccount returns the non-empty texts of find with the names of the accounts.
func eachAccount(c *matcher.Configuration, find func(a *matcher.AccountKeys) string) []string {
	return each(c.Accounts, func(a *matcher.AccountKeys) string { return fmt.Sprintf("account %q", a.Name) }, find)
}

func each[T any](entries []T, subject, find func(*T) string) []string {
	var texts []string
	for i := range entries {
		if text := find(&entries[i]); text != "" {
			texts = append(texts, subject(&entries[i])+": "+text)
		}
	}
	return texts
}

// scope is what decides which requests a route matches. The host is in lower case.
type scope struct{ host, prefix string }

func scopeOf(r *matcher.Route) scope { return scope{strings.ToLower(r.Host), r.Prefix} }

// firstRoutes returns the routes that match requests, without those that they hide.
func firstRoutes(c *matcher.Configuration) map[scope]*matcher.Route {
	first := make(map[scope]*matcher.Route, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		if first[scopeOf(r)] == nil {
			first[scopeOf(r)] = r
		}
	}
	return first
}

// windowQuota returns the number of requests that the account may send in one window.
func windowQuota(a *matcher.Account) float64 { return a.Rate*quotaWindow.Seconds() + a.Burst }

func formatQuota(a *matcher.Account) string {
	if a.Rate <= 0 {
		return "unlimited"
	}
	return fmt.Sprintf("%g/s + %g", a.Rate, a.Burst)
}
