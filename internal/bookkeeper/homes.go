package bookkeeper

// maxHomes limits the sessions of one program whose homes are known. Programs that
// start sub-agents without end must not fill the memory.
const maxHomes = 32

// homes has the endpoints that served the last turns of a program's sessions. Their
// caches have the prompts. It is a hint for placement and lost with the bookkeeper.
type homes struct {
	// Last is the endpoint of the program's last turn.
	Last string `cbor:"1,keyasint,omitempty"`
	// BySession has the endpoints of the sessions' last turns.
	BySession map[string]string `cbor:"2,keyasint,omitempty"`
}

// of returns the home of the session. A new session has that of the program: the
// prompt of a sub-agent begins with the prompt of its parent.
func (h *homes) of(session string) string {
	if home := h.BySession[session]; home != "" {
		return home
	}
	return h.Last
}

// forget removes the endpoint, which failed a turn of the session, from its homes. A turn that
// comes again must not go there, however long after the failure it is placed.
func (h *homes) forget(session, endpoint string) {
	if endpoint == "" {
		return
	}
	if h.BySession[session] == endpoint {
		delete(h.BySession, session)
	}
	if h.Last == endpoint {
		h.Last = ""
	}
}

// record sets the home of the session.
func (h *homes) record(session, endpoint string) {
	if endpoint == "" {
		return
	}
	h.Last = endpoint
	if h.BySession == nil {
		h.BySession = map[string]string{}
	}
	if _, found := h.BySession[session]; !found && len(h.BySession) >= maxHomes {
		for other := range h.BySession {
			delete(h.BySession, other)
			break
		}
	}
	h.BySession[session] = endpoint
}
