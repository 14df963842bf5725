package rerouter

import (
	"errors"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/storer"
)

// The methods that instances call on each other.
const (
	methodTransact = "RelayTransact"
	methodList     = "RelayList"
	methodChanges  = "RelayChanges"
)

type relayTransaction struct {
	Changes []storer.Change `cbor:"1,keyasint"`
}

type relayList struct {
	Range storer.Range `cbor:"1,keyasint"`
}

type relayChanges struct {
	Table string `cbor:"1,keyasint"`
	After int64  `cbor:"2,keyasint"`
	// Wait is the time for which the store waits for a change.
	Wait time.Duration `cbor:"3,keyasint"`
}

// outcome encodes an error of package storer in a reply. Kind is empty for success.
type outcome struct {
	Kind    string          `cbor:"10,keyasint,omitempty"`
	Current []storer.Record `cbor:"11,keyasint,omitempty"`
}

type relayedTransaction struct {
	outcome
	Version int64 `cbor:"1,keyasint"`
}

type relayedPage struct {
	outcome
	Page storer.Page `cbor:"1,keyasint"`
}

func (o *outcome) setErr(err error) {
	var conflict *storer.Conflict
	if errors.As(err, &conflict) {
		o.Current = conflict.Current
	}
	if err != nil {
		o.Kind = resultName(err)
	}
}

func (o *outcome) err() error {
	switch o.Kind {
	case "":
		return nil
	case resultName(storer.ErrConflict):
		return &storer.Conflict{Current: o.Current}
	case resultName(storer.ErrVersionExpired):
		return storer.ErrVersionExpired
	case resultName(storer.ErrInvalid):
		return storer.ErrInvalid
	case resultName(storer.ErrInDoubt):
		return storer.ErrInDoubt
	}
	return storer.ErrUnavailable
}
