package messenger

import (
	"sync"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"
)

const (
	// partBytes is the size of the parts of a reply. The smallest instances transfer one in some
	// tens of milliseconds, so that the timeout of a call bounds the time between two parts.
	partBytes = 64 << 10
	// remainderMaxAge is how long the rest of a reply is kept for a client that does not fetch it.
	remainderMaxAge = 5 * time.Second
	// maxRemainderBytes bounds the rests of all replies. The oldest are dropped first, and their
	// calls fail.
	maxRemainderBytes = 16 << 20
)

// remainders holds the rests of replies that exceed one part. It is safe for concurrent use.
type remainders struct {
	mu sync.Mutex
	// byAge has the rests, that of the least recent request first.
	byAge []*remainder
	bytes int
}

type remainder struct {
	id     string
	body   []byte
	usedAt time.Time
}

// split returns the first part of the body and the ID of its rest, which is empty if there is
// none.
func (r *remainders) split(body []byte) (part []byte, id string) {
	if len(body) <= partBytes {
		return body, ""
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lockedSplit(&remainder{id: ulid.Make().String(), body: body})
}

// next returns the next part of the rest with the ID, and the ID of what is left then.
func (r *remainders) next(id string) (part []byte, rest string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, kept := range r.byAge {
		if kept.id == id {
			r.lockedDrop(i)
			part, rest = r.lockedSplit(kept)
			return part, rest, nil
		}
	}
	return nil, "", eris.New("the rest of the reply is not kept any longer")
}

func (r *remainders) lockedSplit(kept *remainder) (part []byte, id string) {
	now := time.Now()
	for len(r.byAge) > 0 && (now.Sub(r.byAge[0].usedAt) > remainderMaxAge || r.bytes+len(kept.body) > maxRemainderBytes) {
		r.lockedDrop(0)
	}
	if len(kept.body) <= partBytes {
		return kept.body, ""
	}
	part, kept.body = kept.body[:partBytes], kept.body[partBytes:]
	kept.usedAt = now
	r.byAge, r.bytes = append(r.byAge, kept), r.bytes+len(kept.body)
	return part, kept.id
}

func (r *remainders) lockedDrop(i int) {
	r.bytes -= len(r.byAge[i].body)
	copy(r.byAge[i:], r.byAge[i+1:])
	r.byAge[len(r.byAge)-1] = nil
	r.byAge = r.byAge[:len(r.byAge)-1]
}
