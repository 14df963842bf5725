package administrator

import (
	"net/netip"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/requester"
)

// The paths of the API. Bodies are JSON with Pascal-case fields; a request carries
// the operator's key as a bearer token.
const (
	PathDocument  = "/operator/v1/document"
	PathSections  = PathDocument + "/sections/"
	PathApply     = PathDocument + "/apply"
	PathCheck     = PathDocument + "/check"
	PathHistory   = PathDocument + "/history"
	PathDiff      = PathDocument + "/diff"
	PathRollback  = PathDocument + "/rollback"
	PathStatus    = "/operator/v1/status"
	PathInstances = "/operator/v1/instances"
	PathEndpoints = "/operator/v1/endpoints"
	PathPrograms  = "/operator/v1/programs"
	PathOutcomes  = "/operator/v1/outcomes"
	PathResolve   = PathOutcomes + "/resolve"
)

// The last path elements of requests on one program or instance.
const (
	VerbExplain = "explain"
	VerbEnd     = "end"
	VerbDrain   = "drain"
)

// DocumentView is a version of the document.
type DocumentView struct {
	// Version is zero if no document has been accepted.
	Version   int64
	EditID    string
	Operator  string
	At        time.Time
	Revisions compiler.Revisions
	Text      string
}

// SectionView is one section of a version.
type SectionView struct {
	Version  int64
	Section  string
	Revision int64
	Author   string
	At       time.Time
	Text     string
}

// EditRequest replaces one section. An empty Text removes it.
type EditRequest struct {
	EditID       string
	BaseRevision int64
	// File and Line are the position of the text, for error messages.
	File   string
	Line   int
	Text   string
	DryRun bool
}

// ApplyRequest replaces the sections that differ.
type ApplyRequest struct {
	EditID string
	// Revisions are those that the sections are based on.
	Revisions compiler.Revisions
	Sections  []compiler.Section
	DryRun    bool
}

// RollbackRequest creates a new version with the contents of an older one.
type RollbackRequest struct {
	EditID string
	To     int64
	// Base is the newest version that the operator has seen.
	Base   int64
	DryRun bool
}

// HistoryView is a range of versions, the newest first.
type HistoryView struct{ Versions []VersionView }

// VersionView is one version in a history.
type VersionView struct {
	Version  int64
	EditID   string
	Operator string
	Kind     string
	Changed  []string
	At       time.Time
}

// DiffView is the change between two versions as a unified diff.
type DiffView struct {
	From int64
	To   int64
	Diff string
}

// StatusView reports whether the newest version is in force on all instances.
type StatusView struct {
	Newest     int64
	Everywhere bool
	// Lagging names the instances that have an older version or do not answer.
	Lagging   []string
	Instances []Instance
}

// Instance is one instance as seen by the instance that answers the request.
type Instance struct {
	Name       string
	Address    netip.AddrPort
	DataCentre string
	// Version is the document version in force on the instance.
	Version int64
	// Reachable is false if the instance does not answer; the other fields then
	// hold the last known values.
	Reachable bool
	Leaving   bool
	Programs  int
}

// InstancesView lists the instances.
type InstancesView struct{ Instances []Instance }

// Endpoint is one endpoint as seen by the instance that answers the request.
type Endpoint struct {
	Name       string
	Address    netip.AddrPort
	DataCentre string
	Service    string
	Models     []string
	// State is "Healthy", "Suspect", "Down" or "Leaving".
	State   string
	Running int
	Waiting int
	Slots   int
	// Outstanding counts the calls that the answering instance has in flight.
	Outstanding int
	// ReportAge is the age of the load report.
	ReportAge time.Duration
	// CacheTokens and CacheLimit are in tokens.
	CacheTokens int
	CacheLimit  int
}

// EndpointsView lists the endpoints.
type EndpointsView struct{ Endpoints []Endpoint }

// ProgramsView lists programs. Missing names instances that did not answer.
type ProgramsView struct {
	Programs []requester.Explanation
	Missing  []string
}

// EndRequest ends a program and its sub-agents.
type EndRequest struct {
	EditID   string
	Business string
	Reason   string
}

// OutcomesView lists calls whose outcome is not known. Missing names instances
// that did not answer.
type OutcomesView struct {
	Outcomes []Outcome
	Missing  []string
}

// Outcome is a call and the instance that owns it.
type Outcome struct {
	Instance string
	requester.OutcomeView
}

// ResolveRequest records whether a call with an unknown outcome took effect.
type ResolveRequest struct {
	EditID   string
	Business string
	Key      string
	// Landed says whether the call took effect.
	Landed bool
	Note   string
}

// DrainRequest starts a planned stop of an instance.
type DrainRequest struct{ EditID string }

// EmptyView is the response body of requests that return no data.
type EmptyView struct{}

// ErrorView is the body of every error response.
type ErrorView struct {
	Kind answerer.Kind
	Ran  answerer.ExecutionStatus
	// Detail describes the error for a human reader.
	Detail string
	// RetryAfter is the time to wait before a retry, such as 2s; empty if the error
	// is not retryable.
	RetryAfter string `json:",omitempty"`
	// Request is the id of the request, as logged.
	Request string
	// Errors are the errors in an invalid document.
	Errors []DocumentErrorView `json:",omitempty"`
	// Conflicts are the accepted changes that the edit conflicts with.
	Conflicts []ConflictView `json:",omitempty"`
}

// DocumentErrorView is one error in a document.
type DocumentErrorView struct {
	File    string
	Line    int
	Column  int
	Field   string
	Message string
}

// ConflictView is a change that was accepted after the edit's base revision.
// Section is empty if the conflict concerns the whole document.
type ConflictView struct {
	Section  string
	Base     int64
	Revision int64
	Author   string
	EditID   string
	At       time.Time
	Diff     string
}
