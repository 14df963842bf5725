package receiver

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"

	"github.com/oklog/ulid/v2"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/requester"
)

const (
	// derivedIDBytes is the length of the hash prefix used as a derived program id.
	derivedIDBytes = 20
	// endedByCaller is the recorded reason of a program that its caller ends.
	endedByCaller = "EndedByCaller"
)

// OpenRequest is the body of POST /v1/programs.
type OpenRequest struct {
	Agent string
	// Budget is in tokens; zero means the agent's default.
	Budget int
	// Parent is the id of the parent program of a sub-agent.
	Parent string
	// Key is an idempotency key and may be empty.
	Key string
}

// TurnRequest is the body of POST /v1/programs/ID/turns.
type TurnRequest struct {
	Number    int
	Key       string
	Input     string
	MaxTokens int
	Chain     string
	Stream    bool
}

func openProgram(x *exchange) error {
	var body OpenRequest
	if err := x.decode(&body); err != nil {
		return err
	}
	if err := validateOpen(body); err != nil {
		return err
	}
	open := requester.Open{
		Program: newProgramID(x.business.Name, body),
		Agent:   body.Agent,
		Budget:  body.Budget,
		Parent:  body.Parent,
	}
	reply, err := x.do(requester.Command{Open: &open}, nil)
	if err != nil {
		return err
	}
	if reply.Open == nil {
		return errUnexpectedReply()
	}
	return x.writeJSON(http.StatusCreated, reply.Open)
}

func validateOpen(body OpenRequest) error {
	switch {
	case !namePattern.MatchString(body.Agent):
		return answerer.New(answerer.BadRequest, "Agent is not a valid name")
	case body.Budget < 0:
		return answerer.New(answerer.BadRequest, "Budget is negative")
	case body.Parent != "" && !programIDPattern.MatchString(body.Parent):
		return answerer.New(answerer.BadRequest, "Parent is not a valid program id")
	case body.Key != "" && !keyPattern.MatchString(body.Key):
		return answerer.New(answerer.BadRequest, "Key is not 1 to 200 visible ASCII characters")
	}
	return nil
}

// newProgramID returns the id of the program to open. It is derived from the
// business and the key if there is a key, and unique otherwise.
func newProgramID(business string, body OpenRequest) string {
	id := strings.ToLower(ulid.Make().String())
	if body.Key != "" {
		id = derivedID(business, body.Key)
	}
	if body.Parent != "" {
		return requester.NewChild(body.Parent, id)
	}
	return id
}

// derivedID hashes the business and the key. The length prefix makes the encoding
// of the pair unambiguous.
func derivedID(business, key string) string {
	sum := sha256.Sum256([]byte(strconv.Itoa(len(business)) + "/" + business + "/" + key))
	return hex.EncodeToString(sum[:derivedIDBytes])
}

func runTurn(x *exchange) error {
	program, err := x.programID()
	if err != nil {
		return err
	}
	var body TurnRequest
	if err := x.decode(&body); err != nil {
		return err
	}
	if err := validateTurn(body); err != nil {
		return err
	}
	command := requester.Command{Turn: &requester.Turn{
		Program:   program,
		Number:    body.Number,
		Key:       body.Key,
		Input:     body.Input,
		MaxTokens: body.MaxTokens,
		Chain:     body.Chain,
	}}
	if body.Stream {
		return streamTurn(x, command)
	}
	reply, err := x.do(command, nil)
	if err != nil {
		return err
	}
	if reply.Turn == nil {
		return errUnexpectedReply()
	}
	return x.writeJSON(http.StatusOK, reply.Turn)
}

func validateTurn(body TurnRequest) error {
	switch {
	case body.Number < 0:
		return answerer.New(answerer.BadRequest, "Number is negative")
	case body.MaxTokens < 0:
		return answerer.New(answerer.BadRequest, "MaxTokens is negative")
	case body.Input == "":
		return answerer.New(answerer.BadRequest, "Input is empty")
	case body.Key != "" && !keyPattern.MatchString(body.Key):
		return answerer.New(answerer.BadRequest, "Key is not 1 to 200 visible ASCII characters")
	case body.Chain != "" && !keyPattern.MatchString(body.Chain):
		return answerer.New(answerer.BadRequest, "Chain is not 1 to 200 visible ASCII characters")
	}
	return nil
}

func endProgram(x *exchange) error {
	program, err := x.programID()
	if err != nil {
		return err
	}
	end := requester.End{Program: program, Reason: endedByCaller}
	reply, err := x.do(requester.Command{End: &end}, nil)
	if err != nil {
		return err
	}
	if reply.End == nil {
		return errUnexpectedReply()
	}
	return x.writeJSON(http.StatusOK, reply.End)
}

func readHistory(x *exchange) error {
	program, err := x.programID()
	if err != nil {
		return err
	}
	after, err := x.historyAfter()
	if err != nil {
		return err
	}
	history := requester.History{Program: program, After: after}
	reply, err := x.do(requester.Command{History: &history}, nil)
	if err != nil {
		return err
	}
	if reply.History == nil {
		return errUnexpectedReply()
	}
	return x.writeJSON(http.StatusOK, reply.History)
}

func (x *exchange) historyAfter() (int, error) {
	text := x.request.URL.Query().Get("After")
	if text == "" {
		return 0, nil
	}
	after, err := strconv.Atoi(text)
	if err != nil || after < 0 {
		return 0, answerer.New(answerer.BadRequest, "After is not a turn number")
	}
	return after, nil
}

func explainProgram(x *exchange) error {
	program, err := x.programID()
	if err != nil {
		return err
	}
	explain := requester.Explain{Program: program}
	reply, err := x.do(requester.Command{Explain: &explain}, nil)
	if err != nil {
		return err
	}
	if reply.Explain == nil {
		return errUnexpectedReply()
	}
	return x.writeJSON(http.StatusOK, reply.Explain)
}

func (x *exchange) programID() (string, error) {
	program := x.request.PathValue("program")
	if !programIDPattern.MatchString(program) {
		return "", answerer.New(answerer.BadRequest, "the program id in the path is not valid")
	}
	return program, nil
}

func errUnexpectedReply() error {
	return answerer.New(answerer.Internal, "the reply does not match the request")
}
