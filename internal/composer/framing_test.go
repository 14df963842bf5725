package composer_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/platform/standin"
)

// A comment counted as an event of the turn: the engine got an empty line for it in the prompt of
// the next turn.
func TestCommentsAreNoPartOfATurn(t *testing.T) {
	t.Parallel()
	engine := &standin.TextEngine{Texts: []string{": ping\n\n", standin.Event("e", 1), ": ping\n\n", "retry: 10\n\n", standin.Event("e", 2)}}
	engine.BreakAfter(-1)
	f := newTextFleet(t, engine)
	reply := f.doOnceStoreAnswers(f.instances[0], turnCall("first", "p", "", "in-1"))
	if diff := cmp.Diff(strings.Join(engine.Texts, ""), reply.Body); diff != "" || !reply.IsComplete {
		t.Errorf("%+v: %s", reply, diff)
	}
	f.doOnceStoreAnswers(f.instances[0], turnCall("second", "p", "first", "in-2"))
	if diff := cmp.Diff("in-1e.1\ne.2\nin-2", engine.Body("second")); diff != "" {
		t.Error(diff)
	}
}

// Streams with other line ends and spaces arrive unchanged, and their data is recorded.
func TestFramingOfEvents(t *testing.T) {
	t.Parallel()
	for name, texts := range map[string][]string{
		"carriage returns":   {"id: 0\r\ndata: a\r\n\r\n", "id: 1\r\ndata: b\r\n\r\n"},
		"no spaces":          {"id:0\ndata:a\n\n", "data:b\nid:1\n\n"},
		"several in a write": {"id: 0\ndata: a\n\nid: 1\ndata: b\n\n"},
		"parts of an event":  {"id: 0\nda", "ta: a\n\nid", ": 1\ndata: b\n", "\n"},
		"blank lines":        {"\n\nid: 0\ndata: a\n\n\n", "\nid: 1\ndata: b\n\n\n"},
		"other fields":       {"weight-versions: 3\nid: 0\nevent: x\ndata: a\n\n", "id: 1\n: c\ndata: b\n\n"},
		"byte order mark":    {"\ufeffid: 0\ndata: a\n\n", "id: 1\ndata: b\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			engine := &standin.TextEngine{Texts: texts}
			engine.BreakAfter(-1)
			f := newTextFleet(t, engine)
			reply := f.doOnceStoreAnswers(f.instances[0], turnCall("first", "p", "", "in-1"))
			if !reply.IsComplete || reply.Status != http.StatusOK {
				t.Errorf("%+v", reply)
			}
			f.doOnceStoreAnswers(f.instances[0], turnCall("second", "p", "first", "in-2"))
			if diff := cmp.Diff("in-1a\nb\nin-2", engine.Body("second")); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// A caller that had got all events but not the end of its stream was told that the request had failed,
// each time that it took the stream up.
func TestStreamTakenUpAfterItsLastEventIsComplete(t *testing.T) {
	t.Parallel()
	engine := &standin.TextEngine{Texts: []string{standin.Event("e", 1), standin.Event("e", 2)}}
	engine.BreakAfter(-1)
	f := newTextFleet(t, engine)
	first := f.doOnceStoreAnswers(f.instances[0], sessionCall("first", "p"))
	if diff := cmp.Diff([]int{1, 2}, first.Events()); diff != "" {
		t.Fatalf("%+v: %s", first, diff)
	}
	again := sessionCall("again", "p")
	again.Resumes, again.LastEventID = "first", 2
	reply := f.doOnceStoreAnswers(f.instances[0], again)
	if reply.Status != http.StatusOK || !reply.IsComplete || !reply.IsSigned() || reply.Body != "" {
		t.Errorf("%+v", reply)
	}
}

// The stream broke off after its last event, so that the rest is empty.
func TestStreamThatBreaksOffAfterItsLastEventIsComplete(t *testing.T) {
	t.Parallel()
	engine := &standin.TextEngine{Texts: []string{standin.Event("e", 1), standin.Event("e", 2)}}
	engine.BreakAfter(2)
	f := newTextFleet(t, engine)
	reply := f.doOnceStoreAnswers(f.instances[0], sessionCall("first", "p"))
	if diff := cmp.Diff(strings.Join(engine.Texts, ""), reply.Body); diff != "" || !reply.IsComplete {
		t.Errorf("%+v: %s", reply, diff)
	}
}

// A response arrives as it is, also where its IDs don't increase by the letter. Events with the ID of
// one before were left out, and the stream was complete without them.
func TestResponseArrivesWhateverItsIDs(t *testing.T) {
	t.Parallel()
	for name, ids := range map[string][]int{"repeated": {0, 0, 1, 1, 2}, "restarted": {1, 2, 1, 2}, "falling": {3, 2, 1}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			engine := &standin.TextEngine{}
			engine.BreakAfter(-1)
			for i, id := range ids {
				engine.Texts = append(engine.Texts, fmt.Sprintf("id: %d\ndata: text-%d\n\n", id, i))
			}
			f := newTextFleet(t, engine)
			for _, path := range []string{standin.PathSession, standin.PathRetained} {
				call := sessionCall("turn"+path, "p")
				call.Path = path + "x"
				reply := f.doOnceStoreAnswers(f.instances[0], call)
				if diff := cmp.Diff(strings.Join(engine.Texts, ""), reply.Body); diff != "" || !reply.IsComplete {
					t.Errorf("%+v: %s", reply, diff)
				}
			}
		})
	}
}
