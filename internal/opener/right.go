// Package opener decides which programs may be opened without a row while the
// platform's store is unavailable, and up to which part of their budgets. It has no I/O.
//
// Programs are divided into slots. Each slot has a right, a row of the store. A Tenure
// is the time for which one process holds a right; its openings are known to two
// witnesses. docs/design/outage-budgets.md has the rules and why they hold.
package opener

import (
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

const (
	// SlotCount is the number of slots.
	SlotCount = 64
	// witnessCount is the number of processes that know a holder's openings.
	witnessCount = 2
	// format is the version of Right's encoding, and overflowFormat that of rows with an Overflow,
	// which earlier versions of the program must not take over.
	format         = 1
	overflowFormat = 2
	// permille is the whole of a budget in the unit of shares.
	permille = 1000
	// MaxLifted limits the hashes in a right's row to 24 KiB, that of other rows.
	MaxLifted = 3000
)

var (
	// ErrMalformed means that a row is no valid Right. Nothing is known of its holder.
	ErrMalformed = errors.New("malformed right")
	// ErrLaterFormat means that a row was written by a later version of the program. It
	// must not be overwritten.
	ErrLaterFormat = errors.New("right of a later version")
)

// Former is a holder of a right whose openings may not be recorded.
type Former struct {
	Tenure    string   `cbor:"1,keyasint"`
	Holder    string   `cbor:"2,keyasint"`
	Witnesses []string `cbor:"3,keyasint"`
	// Number is that of the tenure, and Silence that of the right when it had this holder; both
	// are zero for holders of versions of the program that did not state them.
	Number  int64         `cbor:"5,keyasint,omitempty"`
	Silence time.Duration `cbor:"6,keyasint,omitempty"`
}

// Lost describes the tenures whose openings nobody knows.
type Lost struct {
	// Latest is the number of the latest of these tenures.
	Latest int64 `cbor:"1,keyasint"`
	// IsPast is true once programs that these tenures opened no longer come without a row.
	IsPast bool `cbor:"2,keyasint,omitempty"`
}

// Right is the row of a slot.
type Right struct {
	Format int `cbor:"1,keyasint"`
	// Holder is the incarnation of the holder, and Tenure unique to each taking.
	Holder string `cbor:"2,keyasint"`
	Tenure string `cbor:"3,keyasint"`
	// Witnesses are the incarnations of the processes that know the openings. Without
	// two of them the holder opens nothing.
	Witnesses []string `cbor:"4,keyasint"`
	// Share is the part of a program's budget that can be used without a row, in
	// thousandths.
	Share int64 `cbor:"5,keyasint"`
	// Former is the previous holder until its openings are recorded.
	Former *Former `cbor:"6,keyasint,omitempty"`
	// IsDeducting is true while programs that a lost holder opened may live, and Deducted is
	// for how long it has been true at least. Any program may be among them if Lost is nil.
	IsDeducting bool          `cbor:"7,keyasint,omitempty"`
	Deducted    time.Duration `cbor:"8,keyasint,omitempty"`
	// Lifted and LiftedBefore are the hashes of programs that no holder opens any
	// more. LiftedBefore has those that were added longer ago.
	Lifted       []uint64 `cbor:"9,keyasint,omitempty"`
	LiftedBefore []uint64 `cbor:"10,keyasint,omitempty"`
	// Number is greater for later tenures. Silence is the time since its last renewal for which
	// the holder opens no programs. Keys 11 and 12 were used by earlier versions.
	Number  int64         `cbor:"13,keyasint,omitempty"`
	Silence time.Duration `cbor:"14,keyasint,omitempty"`
	Lost    *Lost         `cbor:"15,keyasint,omitempty"`
	// Overflow is set while programs may be lifted that are not listed; nothing is opened.
	Overflow Overflow `cbor:"16,keyasint,omitempty"`
	// RotatedAt is the store's time in milliseconds since which Lifted has programs; zero if unknown.
	RotatedAt int64 `cbor:"17,keyasint,omitempty"`
}

// Overflow is the state of a right whose list of lifted programs was full.
type Overflow int

const (
	// Listed means that all lifted programs are listed.
	Listed Overflow = iota
	// Unlisted means that all programs count as lifted, and none is listed.
	Unlisted
	// Relisted means that those are listed which were lifted since RotatedAt.
	Relisted
)

// Encode returns the value of the row.
func (r Right) Encode() ([]byte, error) {
	r.Format = format
	if r.Overflow != Listed {
		r.Format = overflowFormat
	}
	value, err := cbor.Marshal(r)
	return value, eris.Wrap(err, "encode a right")
}

// Decode returns the Right of a row's value. The error is ErrMalformed or
// ErrLaterFormat.
func Decode(value []byte) (Right, error) {
	var version struct {
		Format int `cbor:"1,keyasint"`
	}
	if err := cbor.Unmarshal(value, &version); err != nil {
		return Right{}, ErrMalformed
	}
	if version.Format > overflowFormat {
		return Right{}, ErrLaterFormat
	}
	var r Right
	if err := cbor.Unmarshal(value, &r); err != nil || !r.isValid() {
		return Right{}, ErrMalformed
	}
	return r, nil
}

func (r *Right) isValid() bool {
	return (r.Format == format || r.Format == overflowFormat) && r.Overflow >= Listed && r.Overflow <= Relisted && r.RotatedAt >= 0 && r.Holder != "" && r.Tenure != "" && r.Share > 0 && r.Share <= permille &&
		areWitnesses(r.Witnesses, r.Holder) && r.Deducted >= 0 && len(r.Lifted)+len(r.LiftedBefore) <= MaxLifted &&
		(r.Former == nil || r.Former.Holder != "" && r.Former.Tenure != "" && areWitnesses(r.Former.Witnesses, r.Former.Holder))
}

// areWitnesses reports whether the names are none, or two that differ from each other
// and from the holder.
func areWitnesses(names []string, holder string) bool {
	return len(names) == 0 || len(names) == witnessCount && names[0] != names[1] && !slices.Contains(names, holder) && !slices.Contains(names, "")
}

// isCleared reports whether no lost holder opened a program whose row has the mark.
func (r *Right) isCleared(mark int64) bool {
	return !r.IsDeducting || r.Lost != nil && mark > 0 && mark >= r.Lost.Latest
}

func (r *Right) lostLatest() int64 {
	if r.Lost == nil {
		return 0
	}
	return r.Lost.Latest
}

// IsLifted reports whether no holder may open the program from now on.
func (r *Right) IsLifted(program string) bool {
	if r.Overflow == Unlisted {
		return true
	}
	hash := xxhash.Sum64String(program)
	return slices.Contains(r.Lifted, hash) || slices.Contains(r.LiftedBefore, hash)
}

// Slot returns the slot of the program.
func Slot(program string) int { return int(xxhash.Sum64String(program) % SlotCount) }

// Allowance returns the part of a budget that can be used without a row. It never
// exceeds Withheld.
func Allowance(budget, share int64) int64 {
	return budget/permille*share + budget%permille*share/permille
}

// Withheld returns the part of a budget that is not granted by rows until the program
// is lifted.
func Withheld(budget, share int64) int64 { return budget - Allowance(budget, permille-share) }
