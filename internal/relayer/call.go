package relayer

import (
	"net/http"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/registrar"
)

// Call is a caller's request, without its body.
type Call struct {
	// ID is the caller's name for this attempt, unique for good.
	ID     string
	Method string
	Host   string
	// Target is the request target as it was sent; Path is its path.
	Target string
	Path   string
	// Header is what an endpoint is to get of the caller's header.
	Header http.Header
	// Left is how long the caller waits; zero if it does not say.
	Left time.Duration

	// Program names the program; empty for a request without one.
	Program string
	// ProgramLeft is the time until the program should end, if HasProgramLeft;
	// negative for one that is late.
	ProgramLeft    time.Duration
	HasProgramLeft bool
	// Budget is the number of tokens that all turns of the program may
	// generate; zero for a request without a budget.
	Budget int64
	// PromptTokens and MaxTokens are the sizes of the turn's prompt and of its
	// longest answer.
	PromptTokens int64
	MaxTokens    int64
	// Previous is the ID of the turn that this one continues; empty for none.
	Previous string
	// LastEvent is the event after which the caller resumes a stream.
	LastEvent int64
}

// IsLate says whether the program is past the time at which it should end.
func (c *Call) IsLate() bool { return c.HasProgramLeft && c.ProgramLeft <= 0 }

// Dispatch is what the system adds for the endpoint.
type Dispatch struct {
	// Endpoint is the ID of the endpoint that must answer.
	Endpoint string
	// Left is how long the endpoint may work.
	Left time.Duration
	// Priority is the rank in the endpoint's queue; negative to leave it out.
	Priority int
	// LastEvent is the event after which a stream goes on; zero for its start.
	LastEvent int64
}

// Head is what the header of an endpoint's answer says.
type Head struct {
	// ID is that of the request answered; empty if the answer does not say.
	ID string
	// IsSigned is true if the answer carries an endpoint's signature.
	IsSigned bool
	// IsNotRun is true if the endpoint states that it did not run the request.
	IsNotRun bool
	// Load is what the endpoint says of its load; nil if it does not.
	Load *registrar.Load
}

// Dialect translates headers.
type Dialect interface {
	// DecodeCall decodes the header of a caller's request.
	DecodeCall(r *http.Request) (Call, error)
	// EncodeDispatch returns the header of the request to the endpoint.
	EncodeDispatch(c *Call, d Dispatch) http.Header
	// DecodeHead decodes the header of an endpoint's answer.
	DecodeHead(status int, header http.Header) Head
	// EncodeAnswer copies an endpoint's header into the answer to the caller.
	EncodeAnswer(from, to http.Header)
	// EncodeRefusal sets the header of an answer of the system's own.
	EncodeRefusal(to http.Header, id string, after time.Duration)
}
