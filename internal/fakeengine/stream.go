package fakeengine

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/wigeonstand/wigeonstand/internal/faker"
	"github.com/wigeonstand/wigeonstand/internal/generator"
)

// generate serves one generation as a stream of chunks.
func (h *handler) generate(w http.ResponseWriter, r *http.Request) {
	var request generator.GenerateRequest
	if !faker.ReadJSON(w, r, &request) {
		return
	}
	if h.engine.refusesNew() {
		faker.WriteLeaving(w)
		return
	}
	faults := h.engine.takeFaults()
	if faults.Refuse {
		faker.WriteProblem(w, http.StatusServiceUnavailable, "the engine refuses for now")
		return
	}
	s, err := h.engine.submit(request)
	if err != nil {
		refuse(w, err)
		return
	}
	// A caller that has gone away no longer wants the answer.
	defer h.engine.cancelSequence(s)
	if faults.Drop {
		faker.Abort()
	}
	h.stream(w, r, s, faults)
}

// refuse writes the status that stands for the error of a generation not run.
func refuse(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, errNoModel):
		faker.WriteProblem(w, http.StatusNotFound, err.Error())
	case errors.Is(err, errDuplicate):
		faker.WriteProblem(w, http.StatusConflict, err.Error())
	default:
		faker.WriteProblem(w, http.StatusBadRequest, err.Error())
	}
}

// stream sends chunks until the last one is sent or the caller has gone away.
func (h *handler) stream(w http.ResponseWriter, r *http.Request, s *sequence, faults Faults) {
	controller := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	_ = controller.Flush()
	sent := s.request.Offset
	for {
		select {
		case <-s.changed:
		case <-r.Context().Done():
			return
		}
		chunk := h.engine.nextChunk(s, sent, faults)
		if err := writeChunk(w, chunk); err != nil {
			return
		}
		_ = controller.Flush()
		sent += chunk.Tokens
		if chunk.Done {
			return
		}
		strike(r, faults, sent-s.request.Offset)
	}
}

// strike ends or stalls the stream where the faults say so.
func strike(r *http.Request, faults Faults, sent int) {
	if faults.CutAfter > 0 && sent >= faults.CutAfter {
		faker.Abort()
	}
	if faults.StallAfter > 0 && sent >= faults.StallAfter {
		faker.Hang(r)
	}
}

// nextChunk returns what the generation has produced since the index.
func (e *Engine) nextChunk(s *sequence, sent int, faults Faults) generator.Chunk {
	e.mu.Lock()
	defer e.mu.Unlock()
	end, whole := s.produced, true
	if limit := faults.limit(); limit > 0 && s.request.Offset+limit <= end {
		end, whole = s.request.Offset+limit, false
	}
	chunk := generator.Chunk{
		Request: e.answerID(s, faults),
		Offset:  sent,
		Text:    Text(s.request.Seed, s.request.Messages, sent, end),
		Tokens:  end - sent,
	}
	if s.done && whole {
		usage := s.usage()
		chunk.Done, chunk.Usage, chunk.Error = true, &usage, s.failure
	}
	return chunk
}

// limit returns the number of tokens after which the stream is struck, or zero.
func (f Faults) limit() int {
	if f.CutAfter > 0 {
		return f.CutAfter
	}
	return f.StallAfter
}

// answerID returns the id that chunks carry; the Cross fault takes that of
// another generation. The lock is held.
func (e *Engine) answerID(s *sequence, faults Faults) string {
	if !faults.Cross {
		return s.request.Request
	}
	for _, other := range e.batch.running {
		if other != s {
			return other.request.Request
		}
	}
	return "crossed-" + s.request.Request
}

// writeChunk writes the chunk as a server-sent event.
func writeChunk(w http.ResponseWriter, chunk generator.Chunk) error {
	body, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "data: %s\n\n", body)
	return err
}
