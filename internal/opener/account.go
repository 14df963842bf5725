package opener

// Account is a program's row as far as it concerns openings.
type Account struct {
	// Granted is the sum of all grants, with those charged for openings.
	Granted int64
	// Withheld is the part of the budget that is not granted by rows. It is zero once
	// the program is lifted and what was used without a row is part of Granted.
	Withheld int64
}

// Limit returns the sum up to which grants by rows may be raised at once.
func (a Account) Limit(budget int64) int64 { return max(budget-a.Withheld, a.Granted) }

// NewAccount returns the account of a program that has no row yet.
func NewAccount(budget, share int64) Account { return Account{Withheld: Withheld(budget, share)} }

// Charge returns the account with the tokens that were used without a row. It has no
// effect if they were charged before. A program without a row is charged on the zero
// Account with isNew set.
func (a Account) Charge(tokens int64, isNew bool) Account {
	if a.Withheld == 0 && !isNew {
		return a
	}
	return Account{Granted: a.Granted + tokens}
}
