// Package recorder defines the durable records of programs and calls, their JSON
// encoding, and the chain hash of a program's history. internal/decider builds
// its state from the records.
package recorder

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/generator"
)

// Record is one durable change of state. Exactly one of the pointers is set.
type Record struct {
	Opened    *ProgramOpened `json:",omitempty"`
	Allowed   *AllowanceSet  `json:",omitempty"`
	Settled   *TokensCharged `json:",omitempty"`
	Turned    *TurnCompleted `json:",omitempty"`
	Ended     *ProgramEnded  `json:",omitempty"`
	Released  *CacheReleased `json:",omitempty"`
	Intended  *CallIntent    `json:",omitempty"`
	Concluded *CallOutcome   `json:",omitempty"`
}

// ProgramOpened creates a program.
type ProgramOpened struct {
	Program  string
	Business string
	Agent    string
	Parent   string `json:",omitempty"`
	// Budget is in tokens. It is zero for a sub-agent, which shares the budget of
	// the root program.
	Budget int
}

// AllowanceSet sets the upper bound, in tokens, of what a root program and its
// sub-agents may spend in total until the next AllowanceSet.
type AllowanceSet struct {
	Program string
	Limit   int
}

// TokensCharged charges the program's tree for tokens that no completed turn
// accounts for.
type TokensCharged struct {
	Program string
	Attempt string
	Tokens  int
}

// TurnCompleted adds a turn to a program's history and charges the program's tree.
type TurnCompleted struct {
	Program  string
	Number   int
	Key      string `json:",omitempty"`
	Input    string
	Text     string
	Usage    generator.Usage
	Endpoint string
	Attempt  string
	// Chain is the hash of the history including this turn.
	Chain string
	// Elapsed is the time since the program was opened, added up over its owners.
	// The time from the last turn to the restore on a new owner does not count.
	Elapsed time.Duration
}

// ProgramEnded ends a program, which takes no further turns.
type ProgramEnded struct {
	Program string
	Reason  string
}

// CacheReleased says that an endpoint holds no cache entries of the program.
type CacheReleased struct {
	Program  string
	Endpoint string
}

// CallIntent is recorded before a call to a service that is not repeatable is
// first sent.
type CallIntent struct {
	Business string
	Key      string
	Service  string
	// Digest is the hash of the request's method, path and body.
	Digest string
}

// CallState is the recorded state of a call.
type CallState string

// The states of a call. An operator resolves an unknown call as Resolved if it
// took effect. A voided call did not run or took no effect, and its key can be
// used again.
const (
	Pending  CallState = "Pending"
	Done     CallState = "Done"
	Unknown  CallState = "Unknown"
	Resolved CallState = "Resolved"
	Voided   CallState = "Voided"
)

// CallOutcome is the result of a call.
type CallOutcome struct {
	Business    string
	Key         string
	State       CallState
	Status      int    `json:",omitempty"`
	ContentType string `json:",omitempty"`
	Body        []byte `json:",omitempty"`
	Note        string `json:",omitempty"`
}

// Encode returns the record as JSON.
func Encode(r Record) []byte {
	body, err := json.Marshal(r)
	if err != nil {
		panic(err) // All fields of Record can be encoded as JSON.
	}
	return body
}

// Decode parses a record that Encode returned.
func Decode(body []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(body, &r); err != nil {
		return Record{}, eris.Wrap(err, "decode record")
	}
	return r, nil
}

// hashBytes is the length of a chain hash or digest before its hex encoding.
const hashBytes = 16

// Chain returns the hash of a history that extends the history with hash prior by
// one turn. The prior hash of the first turn is FirstChain.
func Chain(prior string, number int, input, text string) string {
	h := sha256.New()
	writeField(h, prior)
	writeField(h, input)
	writeField(h, text)
	_ = binary.Write(h, binary.BigEndian, int64(number))
	return hex.EncodeToString(h.Sum(nil)[:hashBytes])
}

// FirstChain returns the hash of a program's empty history.
func FirstChain(program string) string { return Chain("", 0, program, "") }

// Digest returns a hash of a call's method, path and body.
func Digest(method, path string, body []byte) string {
	h := sha256.New()
	writeField(h, method)
	writeField(h, path)
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:hashBytes])
}

type writer interface{ Write(p []byte) (int, error) }

func writeField(w writer, field string) {
	_ = binary.Write(w, binary.BigEndian, int64(len(field)))
	_, _ = w.Write([]byte(field))
}
