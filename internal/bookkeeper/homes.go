package bookkeeper

import (
	"maps"
	"slices"
)

// maxHomes limits the sessions of one program whose homes are known. Programs that
// start sub-agents without end must not fill the memory.
const maxHomes = 32

// maxFailedHomes limits the endpoints that are known to have failed a session's turn. Callers
// repeat a failed turn twice.
const maxFailedHomes = 4

// homes has the endpoints that served the last turns of a program's sessions. Their
// caches have the prompts. It is a hint for placement and lost with the bookkeeper.
type homes struct {
	// Last is the endpoint of the program's last turn.
	Last string `cbor:"1,keyasint,omitempty"`
	// BySession has the endpoints of the sessions' last turns.
	BySession map[string]string `cbor:"2,keyasint,omitempty"`
	// Failed has the endpoints that failed the sessions' turns since a turn was last served.
	Failed map[string][]string `cbor:"3,keyasint,omitempty"`
}

// clone returns a copy that settle does not change.
func (h *homes) clone() homes {
	return homes{Last: h.Last, BySession: maps.Clone(h.BySession), Failed: maps.Clone(h.Failed)}
}

// of returns the home of the session. A new session has that of the program: the
// prompt of a sub-agent begins with the prompt of its parent.
func (h *homes) of(session string) string {
	if home := h.BySession[session]; home != "" {
		return home
	}
	return h.Last
}

// settle records the endpoint that served a turn of the session and the one that failed it;
// either may be empty.
func (h *homes) settle(session, served, failed string) {
	if failed != "" {
		h.fail(session, failed)
	} else if served != "" {
		delete(h.Failed, session)
	}
	h.record(session, served)
}

// fail removes the endpoint, which failed a turn of the session, from its homes. A turn that
// comes again must not go there, however long after the failure it is placed, and whether or
// not the endpoint was its home.
func (h *homes) fail(session, endpoint string) {
	if h.BySession[session] == endpoint {
		delete(h.BySession, session)
	}
	if h.Last == endpoint {
		h.Last = ""
	}
	failed := slices.DeleteFunc(slices.Clone(h.Failed[session]), func(id string) bool { return id == endpoint })
	if len(failed) >= maxFailedHomes {
		failed = failed[1:]
	}
	h.Failed = put(h.Failed, session, append(failed, endpoint))
}

// record sets the home of the session.
func (h *homes) record(session, endpoint string) {
	if endpoint == "" {
		return
	}
	h.Last = endpoint
	h.BySession = put(h.BySession, session, endpoint)
}

// put sets the value of the session in a map of at most maxHomes sessions.
func put[V any](m map[string]V, session string, value V) map[string]V {
	if m == nil {
		m = map[string]V{}
	}
	if _, found := m[session]; !found && len(m) >= maxHomes {
		for other := range m {
			delete(m, other)
			break
		}
	}
	m[session] = value
	return m
}
