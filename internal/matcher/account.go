package matcher

import (
	"crypto/rand"
	"crypto/sha256"

	"github.com/rotisserie/eris"
)

// Account is a client account.
type Account struct {
	Name string
	// Priority is valid only if HasPriority is set; 0 is the highest.
	Priority    int
	HasPriority bool
	// Rate is the number of requests a second that the account may send; zero for no limit.
	Rate float64
	// Burst is the number of requests that the account may send beyond Rate.
	Burst float64
}

// AccountKeys is an account with its keys. Any of them identifies the account.
type AccountKeys struct {
	Account
	Keys []string
}

// accountIndex finds accounts by a keyed hash of their keys, so that the time of a search
// does not depend on how much of a key is right, and that the table holds no key.
type accountIndex struct {
	secret [sha256.Size]byte
	byHash map[[sha256.Size]byte]*Account
	byName map[string]*Account
	// ranks is set if any account has a priority.
	ranks bool
}

// WithAccounts returns a copy of the table with the accounts. It fails if two of them have the
// same name or a key in common.
func (t *Table) WithAccounts(accounts []AccountKeys) (*Table, error) {
	index := &accountIndex{byHash: map[[sha256.Size]byte]*Account{}, byName: make(map[string]*Account, len(accounts))}
	if _, err := rand.Read(index.secret[:]); err != nil {
		return nil, eris.Wrap(err, "read random bytes")
	}
	for _, a := range accounts {
		if index.byName[a.Name] != nil {
			return nil, eris.Errorf("two accounts have the name %q", a.Name)
		}
		account := &a.Account
		index.byName[a.Name], index.ranks = account, index.ranks || a.HasPriority
		for _, key := range a.Keys {
			hash := index.hash(key)
			if other := index.byHash[hash]; other != nil && other != account {
				return nil, eris.Errorf("accounts %q and %q have a key in common", other.Name, a.Name)
			}
			index.byHash[hash] = account
		}
	}
	table := *t
	table.accounts = index
	return &table, nil
}

// HasAccounts reports whether the configuration has any account.
func (t *Table) HasAccounts() bool { return t.accounts != nil && len(t.accounts.byName) > 0 }

// RanksAccounts reports whether any account has a priority of its own.
func (t *Table) RanksAccounts() bool { return t.accounts != nil && t.accounts.ranks }

// Account returns the account that holds the key.
func (t *Table) Account(key string) (*Account, bool) {
	if t.accounts == nil || key == "" {
		return nil, false
	}
	account, isKnown := t.accounts.byHash[t.accounts.hash(key)]
	return account, isKnown
}

// usualKeyBytes is the length up to which a key is hashed without an allocation.
const usualKeyBytes = 224

func (i *accountIndex) hash(key string) [sha256.Size]byte {
	var buffer [sha256.Size + usualKeyBytes]byte
	text := append(buffer[:0], i.secret[:]...)
	return sha256.Sum256(append(text, key...))
}
