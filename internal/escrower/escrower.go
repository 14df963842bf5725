// Package escrower divides a business's token budget among the instances. Each
// holder draws tokens from one store row per business and may spend only what it
// has drawn. An Escrower is safe for concurrent use if its table is.
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

// maxAttempts is the number of times that an update is attempted if other holders
// write the row at the same time.
const maxAttempts = 16

// Account is the value of a business's row; amounts are in tokens.
type Account struct {
	Business string
	// Drawn is the number of tokens that all holders have drawn and not returned.
	Drawn int
	// Holders is the part of Drawn by holder. It includes holders that ended
	// without returning their tokens.
	Holders map[string]int
	// CommitID is the id of the commit that last wrote the row.
	CommitID string
	// Recent holds the ids of the preceding commits, the latest last.
	Recent []string
}

// maxRecent bounds Account.Recent. After a lost answer a commit can be confirmed
// unless more than maxRecent others have been written since.
const maxRecent = 64

// Escrower draws and returns tokens for one holder.
type Escrower struct {
	table  storer.Table
	holder string
}

// New returns an Escrower for the holder, whose name must be unique to one
// generation of a lease.
func New(table storer.Table, holder string) *Escrower {
	return &Escrower{table: table, holder: holder}
}

// Draw draws up to tokens within the business's limit and returns the number of
// tokens drawn, zero if the limit is reached. If it returns an error, the store
// may still have recorded the draw; such tokens count as spent.
func (e *Escrower) Draw(ctx context.Context, business string, tokens, limit int) (int, error) {
	return e.update(ctx, business, func(a *Account) int {
		grant := max(0, min(tokens, limit-a.Drawn))
		a.Drawn += grant
		a.Holders[e.holder] += grant
		return grant
	})
}

// Return returns unspent tokens to the business's account.
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

// update applies edit to the row and returns the amount that edit returned. It
// writes nothing if that is zero.
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
	return 0, eris.Errorf("update escrow of %s: gave up after %d write conflicts", business, maxAttempts)
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

// confirm returns nil if the row shows that the commit with the id, whose answer
// was lost, took effect. Otherwise the commit may still take effect later, so it
// returns an error and the write must not be repeated.
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
	return eris.Wrap(storer.ErrInDoubt, "escrow commit was not found in the row")
}
