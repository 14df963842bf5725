package main

import (
	"errors"
	"fmt"
	"strings"

	"github.com/wigeonstand/wigeonstand/internal/administrator"
	"github.com/wigeonstand/wigeonstand/internal/answerer"
)

// The exit codes.
const (
	codeDone        = 0
	codeRefused     = 1
	codeUsage       = 2
	codeConflict    = 3
	codeUnreachable = 4
	codeUnknown     = 5
)

// failure is an error with an exit code.
type failure struct {
	code int
	err  error
}

// Error implements error.
func (f *failure) Error() string { return f.err.Error() }

// Unwrap returns the error without its exit code.
func (f *failure) Unwrap() error { return f.err }

func newFailure(code int, format string, args ...any) error {
	return &failure{code: code, err: fmt.Errorf(format, args...)}
}

func usageError(format string, args ...any) error { return newFailure(codeUsage, format, args...) }

// asFailure returns the failure in err. Errors without an exit code, such as those of
// the command-line library, get codeUsage.
func asFailure(err error) *failure {
	var failed *failure
	if errors.As(err, &failed) {
		return failed
	}
	return &failure{code: codeUsage, err: err}
}

// refusal is an error response of an instance.
type refusal struct{ administrator.ErrorView }

// Error implements error. The text includes the errors in the document and the
// conflicting changes.
func (r *refusal) Error() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s: %s", r.Kind, r.Detail)
	if r.Request != "" {
		fmt.Fprintf(&text, " (request %s)", r.Request)
	}
	for _, fault := range r.Errors {
		fmt.Fprintf(&text, "\n%s:%d:%d: %s", fault.File, fault.Line, fault.Column, fault.Message)
	}
	for _, conflict := range r.Conflicts {
		fmt.Fprintf(&text, "\n%s", conflict.Diff)
	}
	return text.String()
}

// code returns the exit code of the refusal.
func (r *refusal) code() int {
	switch r.Kind {
	case answerer.RevisionConflict:
		return codeConflict
	case answerer.OutcomeUnknown, answerer.NotDurable, answerer.Internal:
		return codeUnknown
	}
	if answerer.Lookup(r.Kind).Retryable {
		return codeUnreachable
	}
	return codeRefused
}

// provesNotRun reports whether the refusal proves that no earlier attempt of the
// request has been or will be carried out.
func (r *refusal) provesNotRun() bool {
	switch r.Kind {
	case answerer.RevisionConflict, answerer.DocumentInvalid, answerer.KeyReused, answerer.BadRequest, answerer.NotFound:
		return true
	}
	return false
}
