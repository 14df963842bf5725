// Package transcriber encodes retained turns as rows of the store and reads their
// transcripts. Any instance can look up a turn by its ID, whichever instance
// served it.
package transcriber

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/storer"
)

// Table is the table that holds turns.
const Table = "turns"

const (
	// maxSegmentBytes is the size up to which the row of a turn repeats the text
	// of the previous turn's row. A larger row refers to the previous one instead,
	// so that rows stay small and a transcript takes few reads.
	maxSegmentBytes = 24 << 10
	// maxRowBytes bounds the text in one row; longer texts continue in further
	// rows.
	maxRowBytes = 48 << 10
	// maxCopyBytes bounds a transcript that is repeated in full, because all rows
	// of a turn are written in one transaction.
	maxCopyBytes = 512 << 10
	// maxCacheBytes bounds the texts of cached turns.
	maxCacheBytes = 8 << 20
	// maxDepth bounds the number of turns whose texts form one transcript, against
	// references that form a cycle.
	maxDepth = 1000
)

// ErrTurnNotFound means that no turn has the ID.
var ErrTurnNotFound = eris.New("turn not found")

// Turn is a completed turn as it is stored.
type Turn struct {
	ID string `cbor:"1,keyasint"`
	// Base is the turn whose transcript precedes Text; empty for none.
	Base string `cbor:"2,keyasint,omitempty"`
	// Text is the inputs and outputs after Base, up to the end of this turn.
	Text []byte `cbor:"3,keyasint"`
	// Parts is the number of further rows in which Text continues.
	Parts int `cbor:"4,keyasint,omitempty"`
	// OldestMillis is the time at which the oldest row of the transcript was
	// written, by the clock of its writer, in milliseconds since 1970.
	OldestMillis int64 `cbor:"5,keyasint,omitempty"`
	// Account is the name of the account that sent the turn; empty if it has none, or if the
	// row was written by an earlier version of the program.
	Account string `cbor:"6,keyasint,omitempty"`
}

// MayContinue reports whether the account with the name, or a caller without one if it is empty,
// may continue the turn: the account that sent it, and any if that is not recorded.
func (t *Turn) MayContinue(account string) bool { return t.Account == "" || t.Account == account }

// Continuation is what a turn adds to the previous transcript.
type Continuation struct {
	ID            string
	Account       string
	Input, Output []byte
	WrittenAt     time.Time
	// Retention is how long the turn must be readable.
	Retention time.Duration
}

// Next returns the turn that continues previous, which may be nil and has the
// given transcript. Rows are removed by age, so that a turn refers to recent rows
// only. Otherwise it repeats the transcript, unless that exceeds maxCopyBytes.
func Next(previous *Turn, transcript []byte, c Continuation) *Turn {
	t := &Turn{ID: c.ID, Account: c.Account, OldestMillis: c.WrittenAt.UnixMilli()}
	size := len(c.Input) + len(c.Output)
	if previous != nil {
		t.Base = previous.ID
		if len(previous.Text)+size <= maxSegmentBytes {
			t.Base, t.Text = previous.Base, append(t.Text, previous.Text...)
		}
		switch {
		case t.Base == "":
		case !previous.isRecent(c) && len(transcript)+size <= maxCopyBytes:
			t.Base, t.Text = "", append([]byte(nil), transcript...)
		default:
			t.OldestMillis = previous.OldestMillis
		}
	}
	t.Text = append(append(t.Text, c.Input...), c.Output...)
	return t
}

// isRecent reports whether all rows of the transcript are at most half the
// retention old. Clocks of instances differ, so that rows may seem to be written
// in the future.
func (t *Turn) isRecent(c Continuation) bool {
	age := c.WrittenAt.Sub(time.UnixMilli(t.OldestMillis))
	return max(age, -age) <= c.Retention/2
}

// Changes returns the changes that store the turn.
func (t *Turn) Changes() ([]storer.Change, error) {
	head := *t
	var rest []byte
	if len(t.Text) > maxRowBytes {
		head.Text, rest = t.Text[:maxRowBytes], t.Text[maxRowBytes:]
	}
	var changes []storer.Change
	for len(rest) > 0 {
		head.Parts++
		part := rest[:min(maxRowBytes, len(rest))]
		rest = rest[len(part):]
		changes = append(changes, storer.Change{RowKey: partKey(t.ID, head.Parts), Value: part})
	}
	value, err := cbor.Marshal(head)
	if err != nil {
		return nil, eris.Wrapf(err, "encode turn %s", t.ID)
	}
	return append(changes, storer.Change{RowKey: key(t.ID), Value: value}), nil
}

func key(id string) storer.RowKey { return storer.PartitionedKey(Table, id) }

// partKey returns the key of a further row, in the partition of the first one.
func partKey(id string, n int) storer.RowKey {
	k := key(id)
	k.Name += "/" + string(rune('A'+n))
	return k
}

// Reader is the part of storer.Rows that a Transcriber uses.
type Reader interface {
	List(ctx context.Context, r storer.Range) (storer.Page, error)
}

// Transcriber reads transcripts and caches turns. It is safe for concurrent use.
type Transcriber struct {
	rows Reader

	mu    sync.Mutex
	turns map[string]*Turn
	// order has the IDs of the cached turns, in the order in which they were added.
	order []string
	bytes int
}

// New returns a Transcriber.
func New(rows Reader) *Transcriber { return &Transcriber{rows: rows, turns: map[string]*Turn{}} }

// Cache adds a stored turn to the cache and evicts the oldest entries above
// maxCacheBytes. The turn must not be modified afterwards.
func (t *Transcriber) Cache(turn *Turn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.turns[turn.ID] != nil {
		return
	}
	t.turns[turn.ID] = turn
	t.order = append(t.order, turn.ID)
	t.bytes += len(turn.Text)
	for t.bytes > maxCacheBytes && len(t.order) > 1 {
		oldest := t.order[0]
		t.order = t.order[1:]
		t.bytes -= len(t.turns[oldest].Text)
		delete(t.turns, oldest)
	}
}

// Turn returns the turn with the ID. It returns ErrTurnNotFound only if the store
// reported that there is none.
func (t *Transcriber) Turn(ctx context.Context, id string) (*Turn, error) {
	t.mu.Lock()
	turn := t.turns[id]
	t.mu.Unlock()
	if turn != nil {
		return turn, nil
	}
	turn, err := t.read(ctx, id)
	if err != nil {
		return nil, err
	}
	t.Cache(turn)
	return turn, nil
}

func (t *Transcriber) read(ctx context.Context, id string) (*Turn, error) {
	records, err := t.list(ctx, id, id, id+"\x00")
	if err != nil {
		return nil, err
	}
	if len(records) == 0 {
		return nil, ErrTurnNotFound
	}
	turn := &Turn{}
	if err := cbor.Unmarshal(records[0].Value, turn); err != nil {
		return nil, eris.Wrapf(err, "decode turn %s", id)
	}
	if turn.Parts == 0 {
		return turn, nil
	}
	// '0' follows the slash in the names of the further rows. IDs of other turns may
	// begin with this one, so that the rows need a range of their own.
	records, err = t.list(ctx, id, id+"/", id+"0")
	if err != nil {
		return nil, err
	}
	parts := make(map[string][]byte, len(records))
	for _, r := range records {
		parts[r.Name] = r.Value
	}
	for n := 1; n <= turn.Parts; n++ {
		part, found := parts[partKey(id, n).Name]
		if !found {
			return nil, eris.Errorf("turn %s lacks row %d of %d further rows", id, n, turn.Parts)
		}
		turn.Text = append(turn.Text, part...)
	}
	turn.Parts = 0
	return turn, nil
}

// list returns the rows of the turn's partition with names from from to below to.
func (t *Transcriber) list(ctx context.Context, id, from, to string) ([]storer.Record, error) {
	page, err := t.rows.List(ctx, storer.Range{Table: Table, Partition: key(id).Partition, From: from, To: to})
	return page.Records, err
}

// Transcript returns the turn with the ID and its transcript: all inputs and
// outputs up to the end of the turn.
func (t *Transcriber) Transcript(ctx context.Context, id string) (*Turn, []byte, error) {
	last, err := t.Turn(ctx, id)
	if err != nil {
		return nil, nil, err
	}
	texts := [][]byte{last.Text}
	size := len(last.Text)
	for turn := last; turn.Base != ""; {
		if len(texts) > maxDepth {
			return nil, nil, eris.Errorf("transcript of turn %s has more than %d parts", id, maxDepth)
		}
		if turn, err = t.Turn(ctx, turn.Base); err != nil {
			// Not wrapped, as ErrTurnNotFound would mean that the turn itself is absent.
			return nil, nil, eris.Errorf("read an earlier part of the transcript of turn %s: %v", id, err)
		}
		texts = append(texts, turn.Text)
		size += len(turn.Text)
	}
	transcript := make([]byte, 0, size)
	for i := len(texts) - 1; i >= 0; i-- {
		transcript = append(transcript, texts[i]...)
	}
	return last, transcript, nil
}
