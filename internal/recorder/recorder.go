// Package recorder owns the durable records of programs and calls, their
// encoding and the chain hash of a history. It does not own where records are
// kept, nor the state that is built from them.
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

// Record is one durable fact. Exactly one of the pointers is set.
type Record struct {
	Opened    *ProgramOpened    `json:",omitempty"`
	Allowed   *SpendLimitRaised `json:",omitempty"`
	Settled   *AttemptCharged   `json:",omitempty"`
	Turned    *TurnCompleted    `json:",omitempty"`
	Ended     *ProgramEnded     `json:",omitempty"`
	Released  *CacheReleased    `json:",omitempty"`
	Intended  *CallIntent       `json:",omitempty"`
	Concluded *CallOutcome      `json:",omitempty"`
}

// ProgramOpened says that a program exists.
type ProgramOpened struct {
	Program  string
	Business string
	Agent    string
	Parent   string `json:",omitempty"`
	// Budget is in tokens; zero for a sub-agent, which shares its root's.
	Budget int
}

// SpendLimitRaised raises what a program's tree may spend before the next such record,
// in tokens from the tree's start.
type SpendLimitRaised struct {
	Program string
	Limit   int
}

// AttemptCharged charges the tree with an attempt that made no turn.
type AttemptCharged struct {
	Program string
	Attempt string
	Tokens  int
}

// TurnCompleted adds a turn to a program's history and charges its tree.
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
	// Elapsed is the time since the program was opened, by its owners' clocks.
	Elapsed time.Duration
}

// ProgramEnded says that a program takes no further turns.
type ProgramEnded struct {
	Program string
	Reason  string
}

// CacheReleased says that an endpoint holds no memory for the program.
type CacheReleased struct {
	Program  string
	Endpoint string
}

// CallIntent says that a call that may not be repeated may be dispatched from now on.
type CallIntent struct {
	Business string
	Key      string
	Service  string
	// Digest identifies the request's method, path and body.
	Digest string
}

// CallState is what is known of a call.
type CallState string

// The states of a call. A voided call was not run and its key is free again.
const (
	Pending  CallState = "Pending"
	Done     CallState = "Done"
	Unknown  CallState = "Unknown"
	Resolved CallState = "Resolved"
	Voided   CallState = "Voided"
)

// CallOutcome says what became of a call.
type CallOutcome struct {
	Business    string
	Key         string
	State       CallState
	Status      int    `json:",omitempty"`
	ContentType string `json:",omitempty"`
	Body        []byte `json:",omitempty"`
	Note        string `json:",omitempty"`
}

// Encode returns the record's durable form.
func Encode(r Record) []byte {
	body, err := json.Marshal(r)
	if err != nil {
		panic(err) // The record's fields are all encodable.
	}
	return body
}

// Decode reads a record's durable form.
func Decode(body []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(body, &r); err != nil {
		return Record{}, eris.Wrap(err, "decode record")
	}
	return r, nil
}

// chainBytes is the length of a chain hash before its hex encoding.
const chainBytes = 16

// Chain returns the hash of a history that continues prior with one turn. The
// first turn continues FirstChain.
func Chain(prior string, number int, input, text string) string {
	h := sha256.New()
	writeField(h, prior)
	writeField(h, input)
	writeField(h, text)
	_ = binary.Write(h, binary.BigEndian, int64(number))
	return hex.EncodeToString(h.Sum(nil)[:chainBytes])
}

// FirstChain returns the hash of a program's empty history.
func FirstChain(program string) string { return Chain("", 0, program, "") }

// Digest returns the identity of a call's method, path and body.
func Digest(method, path string, body []byte) string {
	h := sha256.New()
	writeField(h, method)
	writeField(h, path)
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:chainBytes])
}

type writer interface{ Write(p []byte) (int, error) }

func writeField(w writer, field string) {
	_ = binary.Write(w, binary.BigEndian, int64(len(field)))
	_, _ = w.Write([]byte(field))
}
