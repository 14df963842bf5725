// Package linter finds faults of a configuration before it is sent, and says what it
// changes for the traffic in comparison with another configuration.
package linter

import (
	"time"

	"github.com/wigeonstand/wigeonstand/internal/matcher"
)

// Severity is the severity of a finding.
type Severity string

// The severities.
const (
	// Error is the severity of configurations that the instances reject or ignore, and of
	// routes that can't serve a request.
	Error   Severity = "Error"
	Warning Severity = "Warning"
	// Difference is the severity of a change that is no fault in itself.
	Difference Severity = "Difference"
)

// Finding is a fault of a configuration or its difference from another one.
type Finding struct {
	Severity Severity
	// Rule is the name of the rule that reports the finding.
	Rule string
	File string `json:",omitempty"`
	// Line and Column are zero if the position is not known.
	Line   int `json:",omitempty"`
	Column int `json:",omitempty"`
	// Text names the entry and says what was found.
	Text string
	// Effect says what a difference does to the traffic.
	Effect string `json:",omitempty"`
}

// quotaWindow is the window of account quotas in the deployed settings, QuotaWindow.
const quotaWindow = 5 * time.Second

// rule is a check of a configuration. It returns a text for each fault.
type rule struct {
	name     string
	severity Severity
	find     func(c *matcher.Configuration) []string
}

// Check returns the faults of a configuration that was decoded without errors.
// programRequests is the number of requests that one program sends at once.
func Check(c *matcher.Configuration, programRequests float64) []Finding {
	var findings []Finding
	for _, r := range []rule{
		{"UnknownService", Error, findUnknownServices},
		{"InvalidPrefix", Error, findInvalidPrefixes},
		{"NoWeight", Error, findRoutesWithoutWeight},
		{"HiddenRoute", Warning, findHiddenRoutes},
		{"HostWithPort", Warning, findHostsWithPort},
		{"UnusedService", Warning, findUnusedServices},
		{"AccountWithoutKeys", Warning, findAccountsWithoutKeys},
		{"TargetAboveTimeout", Warning, findTargetsAboveTimeout},
		{"UnsafeAttempts", Warning, findUnsafeAttempts},
		{"BurstWithoutRate", Warning, findBurstsWithoutRate},
		{"QuotaBelowProgram", Warning, findQuotasBelow(programRequests)},
		{"NoBodyLimit", Warning, findNoBodyLimit},
		{"RetentionWithoutTime", Warning, findRetentionWithoutTime},
	} {
		for _, text := range r.find(c) {
			findings = append(findings, Finding{Severity: r.severity, Rule: r.name, Text: text})
		}
	}
	return findings
}

// Worst returns the severity of the most severe finding, or "" if there is none above Difference.
func Worst(findings []Finding) Severity {
	var worst Severity
	for _, f := range findings {
		switch f.Severity {
		case Error:
			return Error
		case Warning:
			worst = Warning
		}
	}
	return worst
}
