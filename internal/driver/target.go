package driver

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/generator"
	"github.com/wigeonstand/wigeonstand/internal/requester"
)

// OpenRequest starts a program.
type OpenRequest struct {
	Agent  string
	Budget int    `json:",omitempty"`
	Parent string `json:",omitempty"`
	Key    string
}

// TurnRequest takes a turn of a program.
type TurnRequest struct {
	Program   string `json:"-"`
	Number    int
	Key       string
	Input     string
	MaxTokens int
	Chain     string `json:",omitempty"`
	Stream    bool
}

// CallRequest is a request to a plain service.
type CallRequest struct {
	Service string
	Path    string
	Key     string
	// Program is set when the call belongs to a program.
	Program string
	Body    []byte
}

// TurnAnswer is the whole answer to a turn.
type TurnAnswer struct {
	requester.TurnReply
	Stream Stream
}

// Stream says how an answer arrived.
type Stream struct {
	// Text is the text of all chunks.
	Text   string
	Tokens int
	Chunks int
	// Broken is set when a chunk did not start where the one before it ended.
	Broken bool
	// First is when the first chunk arrived.
	First time.Time
	// Gaps are the times between chunks.
	Gaps []time.Duration
	last time.Time
}

// add takes in the next chunk.
func (s *Stream) add(now time.Time, chunk generator.Chunk) {
	if s.Chunks == 0 {
		s.First = now
	} else {
		s.Gaps = append(s.Gaps, now.Sub(s.last))
	}
	s.Broken = s.Broken || chunk.Offset != s.Tokens
	s.Text += chunk.Text
	s.Tokens += chunk.Tokens
	s.Chunks++
	s.last = now
}

// CallAnswer is the service's own whole answer to a call, whatever its status.
type CallAnswer struct {
	Status int
	Body   []byte
}

// Target is what a Driver sends programs to. Errors are a *Refusal or ErrCut.
type Target interface {
	Open(ctx context.Context, request OpenRequest) (requester.OpenReply, error)
	Turn(ctx context.Context, request TurnRequest) (TurnAnswer, error)
	Call(ctx context.Context, request CallRequest) (CallAnswer, error)
	History(ctx context.Context, program string) (requester.HistoryPage, error)
	End(ctx context.Context, program string) error
}

// ErrCut means that no whole answer arrived.
var ErrCut = errors.New("no whole answer")

// Unreachable is the kind of a refusal that the tool itself makes when it
// could not connect.
const Unreachable answerer.Kind = "Unreachable"

// Refusal is an answer with an error.
type Refusal struct {
	Kind       answerer.Kind
	Ran        answerer.ExecutionStatus
	Detail     string
	RetryAfter time.Duration
	Request    string
}

// wireRefusal is the JSON form of a refusal.
type wireRefusal struct {
	Kind   answerer.Kind
	Ran    answerer.ExecutionStatus
	Detail string
	// RetryAfter is in seconds.
	RetryAfter float64
	Request    string
}

func (w wireRefusal) refusal() *Refusal {
	return &Refusal{
		Kind:       w.Kind,
		Ran:        w.Ran,
		Detail:     w.Detail,
		RetryAfter: time.Duration(w.RetryAfter * float64(time.Second)),
		Request:    w.Request,
	}
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Kind, r.Ran, r.Detail)
}

// retryable says whether the same request may succeed later.
func (r *Refusal) retryable() bool {
	return r.Kind == Unreachable || answerer.Lookup(r.Kind).Retryable
}

// Outcome is what became of one request.
type Outcome string

// The outcomes, which are kept apart.
const (
	// Whole is a whole answer.
	Whole Outcome = "Whole"
	// NotRun is a refusal that says so.
	NotRun Outcome = "NotRun"
	// Failed is a refusal that says the request ran and failed.
	Failed Outcome = "Failed"
	// Unknown is a refusal that says the request may have run.
	Unknown Outcome = "Unknown"
	// Cut is an answer that ended early or never came.
	Cut Outcome = "Cut"
)

// outcomeOf returns what the error says of the request.
func outcomeOf(err error) Outcome {
	if err == nil {
		return Whole
	}
	var refusal *Refusal
	if !errors.As(err, &refusal) {
		return Cut
	}
	switch refusal.Ran {
	case answerer.NotRun:
		return NotRun
	case answerer.RanAndFailed:
		return Failed
	default:
		return Unknown
	}
}

// kindOf returns the kind of the refusal, or "" if there is none.
func kindOf(err error) answerer.Kind {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal.Kind
	}
	return ""
}
