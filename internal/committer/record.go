package committer

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/sharder"
)

// KeyPrefix is the prefix of the keys of all journal batches, rows and objects alike.
const KeyPrefix = "journal/"

// entryOverheadBytes is counted per entry in addition to its body.
const entryOverheadBytes = 32

// Record holds the entries of one Append.
type Record struct {
	Sequence int64
	Entries  []sharder.Entry
}

func (r Record) size() int {
	n := 0
	for _, entry := range r.Entries {
		n += entryOverheadBytes + len(entry.Body)
	}
	return n
}

// Batch is the content of one journal row or object. Its records have the
// consecutive sequences First to Last; the batch before it ends at First-1.
type Batch struct {
	Instance   string
	Generation int64
	First      int64
	Last       int64
	Records    []Record
}

// Envelope is the stored form of a Batch: Body is the encoded Batch, and Checksum the
// xxHash64 of Body in hexadecimal.
type Envelope struct {
	Checksum string
	Body     json.RawMessage
}

// GenerationPrefix returns the prefix of the keys of one generation's batches.
func GenerationPrefix(instance string, generation int64) string {
	return fmt.Sprintf("%s%s/%020d/", KeyPrefix, instance, generation)
}

// BatchKey returns the key of the batch whose last sequence is last.
func BatchKey(instance string, generation, last int64) string {
	return fmt.Sprintf("%s%020d", GenerationPrefix(instance, generation), last)
}

func encode(instance string, generation int64, records []Record) ([]byte, error) {
	body, err := json.Marshal(Batch{
		Instance:   instance,
		Generation: generation,
		First:      records[0].Sequence,
		Last:       records[len(records)-1].Sequence,
		Records:    records,
	})
	if err != nil {
		return nil, eris.Wrap(err, "encode batch")
	}
	object, err := json.Marshal(Envelope{Checksum: checksum(body), Body: body})
	return object, eris.Wrap(err, "encode envelope")
}

// decode decodes a batch and verifies its checksum, its sequences, and that it
// matches the key it was stored under.
func decode(object []byte, instance string, generation, last int64) (Batch, error) {
	var envelope Envelope
	if err := json.Unmarshal(object, &envelope); err != nil {
		return Batch{}, eris.Wrap(err, "decode envelope")
	}
	if envelope.Checksum != checksum(envelope.Body) {
		return Batch{}, eris.New("checksum mismatch")
	}
	var batch Batch
	if err := json.Unmarshal(envelope.Body, &batch); err != nil {
		return Batch{}, eris.Wrap(err, "decode batch")
	}
	if batch.Instance != instance || batch.Generation != generation || batch.Last != last {
		return Batch{}, eris.Errorf("batch does not match its key: it has last sequence %d of %s/%d", batch.Last, batch.Instance, batch.Generation)
	}
	return batch, batch.checkSequences()
}

// checkSequences verifies that the records have exactly the sequences First to Last.
func (b Batch) checkSequences() error {
	want := b.First
	for _, record := range b.Records {
		if record.Sequence != want {
			return eris.Errorf("gap in the batch: sequence %d follows %d", record.Sequence, want-1)
		}
		want++
	}
	if b.First < 1 || want != b.Last+1 {
		return eris.Errorf("batch ends at sequence %d, want %d", want-1, b.Last)
	}
	return nil
}

func checksum(body []byte) string {
	return fmt.Sprintf("%016x", xxhash.Sum64(body))
}
