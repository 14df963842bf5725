// Package transcriber owns the transcripts of retained turns: how they lie in
// rows, and how the transcript of a turn is put together from them. Any
// instance finds a turn by its ID alone, whoever served it.
package transcriber

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/storer"
)

// Table is the table of the turns' rows.
const Table = "turns"

const (
	// segmentBytes is the transcript up to which a turn's row repeats what the
	// row before it holds. Above it the row refers to the one before, so that
	// rows stay small and a transcript takes few reads.
	segmentBytes = 24 << 10
	// partBytes bounds one row; longer texts go on in rows of their own.
	partBytes = 48 << 10
	// copyBytes bounds a transcript that is repeated whole, as its rows are
	// written in one transaction.
	copyBytes = 512 << 10
	// cacheBytes bounds the turns kept in memory.
	cacheBytes = 8 << 20
	// maxDepth bounds the rows of one transcript.
	maxDepth = 1000
)

// ErrTurnNotFound means that no turn has the ID.
var ErrTurnNotFound = eris.New("no such turn")

// Turn is a complete turn.
type Turn struct {
	ID string `cbor:"1,keyasint"`
	// Base is the turn whose transcript precedes Text; empty for none.
	Base string `cbor:"2,keyasint,omitempty"`
	// Text is the inputs and outputs since Base, up to this turn's end.
	Text []byte `cbor:"3,keyasint"`
	// Parts is the number of further rows that Text goes on in.
	Parts int `cbor:"4,keyasint,omitempty"`
	// OldestMillis is when the oldest row of the transcript was written, by the clock of
	// its writer, in milliseconds since 1970.
	OldestMillis int64 `cbor:"5,keyasint,omitempty"`
}

// Continuation is what a turn adds to the transcript before it.
type Continuation struct {
	ID            string
	Input, Output []byte
	WrittenAt     time.Time
	// Retention is for how long the turn must be found.
	Retention time.Duration
}

// Next returns the turn that follows previous, which may be nil, and its
// transcript. Rows are removed by their age, so that a turn refers to young rows
// only and repeats the transcript otherwise.
func Next(previous *Turn, transcript []byte, c Continuation) *Turn {
	t := &Turn{ID: c.ID, OldestMillis: c.WrittenAt.UnixMilli()}
	size := len(c.Input) + len(c.Output)
	if previous != nil {
		t.Base = previous.ID
		if len(previous.Text)+size <= segmentBytes {
			t.Base, t.Text = previous.Base, append(t.Text, previous.Text...)
		}
		switch {
		case t.Base == "":
		case !previous.isYoung(c) && len(transcript)+size <= copyBytes:
			t.Base, t.Text = "", append([]byte(nil), transcript...)
		default:
			t.OldestMillis = previous.OldestMillis
		}
	}
	t.Text = append(append(t.Text, c.Input...), c.Output...)
	return t
}

// isYoung says whether the whole transcript was written within half the time of
// retention, as far as clocks tell.
func (t *Turn) isYoung(c Continuation) bool {
	age := c.WrittenAt.Sub(time.UnixMilli(t.OldestMillis))
	return max(age, -age) <= c.Retention/2
}

// Changes returns the rows that record the turn.
func (t *Turn) Changes() ([]storer.Change, error) {
	head := *t
	var rest []byte
	if len(t.Text) > partBytes {
		head.Text, rest = t.Text[:partBytes], t.Text[partBytes:]
	}
	var changes []storer.Change
	for len(rest) > 0 {
		head.Parts++
		part := rest[:min(partBytes, len(rest))]
		rest = rest[len(part):]
		changes = append(changes, storer.Change{RowKey: partKey(t.ID, head.Parts), Value: part})
	}
	value, err := cbor.Marshal(head)
	if err != nil {
		return nil, eris.Wrap(err, "encode a turn")
	}
	return append(changes, storer.Change{RowKey: key(t.ID), Value: value}), nil
}

func key(id string) storer.RowKey { return storer.PartitionedKey(Table, id) }

// partKey is in the partition of the turn's first row.
func partKey(id string, n int) storer.RowKey {
	k := key(id)
	k.Name += "/" + string(rune('A'+n))
	return k
}

// Reader reads rows.
type Reader interface {
	List(ctx context.Context, r storer.Range) (storer.Page, error)
}

// Transcriber reads transcripts and keeps recent turns.
type Transcriber struct {
	rows Reader

	mu    sync.Mutex
	turns map[string]*Turn
	order []string
	bytes int
}

// New returns a Transcriber.
func New(rows Reader) *Transcriber { return &Transcriber{rows: rows, turns: map[string]*Turn{}} }

// Cache puts a recorded turn into the cache.
func (t *Transcriber) Cache(turn *Turn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.turns[turn.ID] != nil {
		return
	}
	t.turns[turn.ID] = turn
	t.order = append(t.order, turn.ID)
	t.bytes += len(turn.Text)
	for t.bytes > cacheBytes && len(t.order) > 1 {
		oldest := t.order[0]
		t.order = t.order[1:]
		t.bytes -= len(t.turns[oldest].Text)
		delete(t.turns, oldest)
	}
}

// Turn returns the turn with the ID, or ErrTurnNotFound if there is none for certain.
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
	// The name range holds the row and its further parts.
	page, err := t.rows.List(ctx, storer.Range{Table: Table, Partition: key(id).Partition, From: id, To: id + "0"})
	if err != nil {
		return nil, err
	}
	records := page.Records
	if len(records) == 0 || records[0].Name != id {
		return nil, ErrTurnNotFound
	}
	turn := &Turn{}
	if err := cbor.Unmarshal(records[0].Value, turn); err != nil {
		return nil, eris.Wrapf(err, "decode turn %s", id)
	}
	for _, r := range records[1:] {
		turn.Text = append(turn.Text, r.Value...)
	}
	if len(records) < turn.Parts+1 {
		return nil, eris.Errorf("turn %s has %d of %d rows", id, len(records), turn.Parts+1)
	}
	turn.Parts = 0
	return turn, nil
}

// Transcript returns the turn and all inputs and outputs up to its end.
func (t *Transcriber) Transcript(ctx context.Context, id string) (*Turn, []byte, error) {
	last, err := t.Turn(ctx, id)
	if err != nil {
		return nil, nil, err
	}
	texts := [][]byte{last.Text}
	size := len(last.Text)
	for turn := last; turn.Base != ""; {
		if len(texts) > maxDepth {
			return nil, nil, eris.Errorf("the transcript of turn %s does not end", id)
		}
		if turn, err = t.Turn(ctx, turn.Base); err != nil {
			// Not wrapped: that the turn itself exists is certain.
			return nil, nil, eris.Errorf("an earlier part of turn %s: %v", id, err)
		}
		texts = append(texts, turn.Text)
		size += len(turn.Text)
	}
	whole := make([]byte, 0, size)
	for i := len(texts) - 1; i >= 0; i-- {
		whole = append(whole, texts[i]...)
	}
	return last, whole, nil
}
