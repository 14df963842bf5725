// Package escrower owns the division of a business's budget among instances:
// each holder draws slices from one row per business, and only what it drew may
// be spent. It does not own how a slice is spent.
package escrower

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/storer"
)

// KeyPrefix starts the key of every escrow row.
const KeyPrefix = "escrow/"

// maxAttempts bounds the conflicts that one draw goes through.
const maxAttempts = 16

// Account is the value of a business's row, in tokens.
type Account struct {
	Business string
	// Drawn is what all holders have drawn and not given back.
	Drawn int
	// Holders is what each holder that still runs, or that died with it, has drawn.
	Holders map[string]int
	// CommitID is the id of the commit that wrote the row last.
	CommitID string
	// Recent are the ids of the commits before it, the latest last.
	Recent []string
}

// maxRecent bounds Recent: a lost answer is settled if no more draws than
// this landed since.
const maxRecent = 64

// Escrower draws for one holder.
type Escrower struct {
	table  storer.Table
	holder string
}

// New returns an Escrower for the holder, which must be unique to a lease's generation.
func New(table storer.Table, holder string) *Escrower {
	return &Escrower{table: table, holder: holder}
}

// Draw takes up to tokens of what the limit leaves and returns what it got,
// zero if nothing is left. An error means that the store did not answer; what
// may have been drawn then counts as spent.
func (e *Escrower) Draw(ctx context.Context, business string, tokens, limit int) (int, error) {
	return e.update(ctx, business, func(a *Account) int {
		grant := max(0, min(tokens, limit-a.Drawn))
		a.Drawn += grant
		a.Holders[e.holder] += grant
		return grant
	})
}

// Return gives unspent tokens back.
func (e *Escrower) Return(ctx context.Context, business string, tokens int) error {
	_, err := e.update(ctx, business, func(a *Account) int {
		returned := max(0, min(tokens, a.Holders[e.holder]))
		a.Drawn -= returned
		a.Holders[e.holder] -= returned
		return returned
	})
	return err
}

// Read returns the business's account.
func (e *Escrower) Read(ctx context.Context, business string) (Account, error) {
	account, _, err := e.read(ctx, business)
	return account, err
}

func (e *Escrower) read(ctx context.Context, business string) (Account, int64, error) {
	rows, err := e.table.Read(ctx, KeyPrefix+business)
	if err != nil {
		return Account{}, 0, eris.Wrap(err, "read escrow")
	}
	account := Account{Business: business, Holders: map[string]int{}}
	if rows[0].Version == 0 {
		return account, 0, nil
	}
	if err := json.Unmarshal(rows[0].Value, &account); err != nil {
		return Account{}, 0, eris.Wrapf(err, "decode escrow of %s", business)
	}
	if account.Holders == nil {
		account.Holders = map[string]int{}
	}
	return account, rows[0].Version, nil
}

// update applies one edit to the row; zero from the edit writes nothing.
func (e *Escrower) update(ctx context.Context, business string, edit func(*Account) int) (int, error) {
	for range maxAttempts {
		account, version, err := e.read(ctx, business)
		if err != nil {
			return 0, err
		}
		amount := edit(&account)
		if amount == 0 {
			return 0, nil
		}
		account.setCommitID(ulid.Make().String())
		err = e.write(ctx, account, version)
		if errors.Is(err, storer.ErrInDoubt) {
			err = e.confirm(ctx, business, account.CommitID)
		}
		if err == nil {
			return amount, nil
		}
		if !errors.Is(err, storer.ErrConflict) {
			return 0, err
		}
	}
	return 0, eris.Errorf("escrow of %s changed %d times meanwhile", business, maxAttempts)
}

func (a *Account) setCommitID(id string) {
	if a.CommitID != "" {
		a.Recent = append(a.Recent, a.CommitID)
	}
	a.Recent = a.Recent[max(0, len(a.Recent)-maxRecent):]
	a.CommitID = id
}

func (e *Escrower) write(ctx context.Context, account Account, version int64) error {
	value, err := json.Marshal(account)
	if err != nil {
		return eris.Wrap(err, "encode escrow")
	}
	key := KeyPrefix + account.Business
	_, err = e.table.Commit(ctx, storer.Commit{
		ID:         account.CommitID,
		Conditions: []storer.Condition{{Key: key, Version: version}},
		Writes:     []storer.Write{{Key: key, Value: value}},
	})
	return err
}

// confirm reads back whether a write whose answer was lost took effect. A write
// that has not may still arrive, so it is an error, never written again.
func (e *Escrower) confirm(ctx context.Context, business, id string) error {
	account, _, err := e.read(ctx, business)
	if err != nil {
		return err
	}
	if account.CommitID == id {
		return nil
	}
	for _, recent := range account.Recent {
		if recent == id {
			return nil
		}
	}
	return eris.Wrap(storer.ErrInDoubt, "escrow draw was not found")
}
