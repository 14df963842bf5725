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
	Opened    *Opened    `json:",omitempty"`
	Allowed   *Allowed   `json:",omitempty"`
	Settled   *Settled   `json:",omitempty"`
	Turned    *Turned    `json:",omitempty"`
	Ended     *Ended     `json:",omitempty"`
	Released  *Released  `json:",omitempty"`
	Intended  *Intended  `json:",omitempty"`
	Concluded *Concluded `json:",omitempty"`
}

// Opened says that a program exists.
type Opened struct {
	Program  string
	Business string
	Agent    string
	Parent   string `json:",omitempty"`
	// Budget is in tokens; zero for a sub-agent, which shares its root's.
	Budget int
}

// Allowed raises what a program's tree may spend before the next such record,
// in tokens from the tree's start.
type Allowed struct {
	Program string
	Limit   int
}

// Settled charges the tree with an attempt that made no turn.
type Settled struct {
	Program string
	Attempt string
	Tokens  int
}

// Turned adds a turn to a program's history and charges its tree.
type Turned struct {
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

// Ended says that a program takes no further turns.
type Ended struct {
	Program string
	Reason  string
}

// Released says that an endpoint holds no memory for the program.
type Released struct {
	Program  string
	Endpoint string
}

// Intended says that a call that may not be repeated may be dispatched from now on.
type Intended struct {
	Business string
	Key      string
	Service  string
	// Digest identifies the request's method, path and body.
	Digest string
}

// State is what is known of a call.
type State string

// The states of a call. A voided call was not run and its key is free again.
const (
	Pending  State = "Pending"
	Done     State = "Done"
	Unknown  State = "Unknown"
	Resolved State = "Resolved"
	Voided   State = "Voided"
)

// Concluded says what became of a call.
type Concluded struct {
	Business    string
	Key         string
	State       State
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
