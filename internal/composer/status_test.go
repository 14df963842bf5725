package composer_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wigeonstand/wigeonstand/platform/standin"
)

// invalidStatuses are no status codes of a final response.
var invalidStatuses = []string{"000", "099", "100", "101", "199", "600", "999", "1000", "20", "-20", "2 0", "OK"}

// An endpoint in trouble answered with a status that HTTP does not have, and the caller got it as
// the answer, body and all. On all kinds of routes, for callers of each version, over direct
// connections and tunnels.
func TestResponseWithAnInvalidStatusIsNoAnswer(t *testing.T) {
	t.Parallel()
	f := newCutFleet(t)
	var status atomic.Pointer[string]
	for _, e := range append(f.engines, f.services...) {
		e.Script = func(id string, _ int) string {
			version, code, _ := strings.Cut(*status.Load(), " ")
			head := standin.ResponseHead(id, code+" Status", fmt.Sprint("Content-Length: ", len(stranger)))
			return strings.Replace(head, "HTTP/1.1", version, 1) + "\r\n" + stranger
		}
	}
	callers := map[string]func(standin.Call) standin.Reply{
		"HTTP/1.1": func(c standin.Call) standin.Reply { return f.do(f.instances[0], c) },
		"HTTP/1.0": func(c standin.Call) standin.Reply {
			c.Host, c.Deadline, c.GracePeriod = standin.Host, 3*time.Second, time.Second
			return standin.DoHTTP10(t.Context(), f.instances[0].settings.CallerListen.String(), c)
		},
	}
	n := 0
	check := func(path string) {
		for version, do := range callers {
			n++
			name := fmt.Sprint("call-", n)
			session := sessionCall(name+"-session", name)
			session.Method = http.MethodPost
			turn := turnCall(name+"-turn", name, "", "in\n")
			turn.Method = http.MethodPost
			for _, c := range []standin.Call{
				turn, session,
				{ID: name + "-call", Method: http.MethodGet, Path: standin.PathLookup + name},
				{ID: name + "-post", Method: http.MethodPost, Path: standin.PathPost + name, Body: "post"},
			} {
				reply := do(c)
				if reply.Status != http.StatusBadGateway || reply.IsSigned() || strings.Contains(reply.Body, stranger) {
					t.Errorf("status %q, caller of %s, %s, %s: %+v", *status.Load(), version, path, c.Path, reply)
				}
			}
		}
	}
	for _, path := range []string{"direct", "tunnel"} {
		if path == "tunnel" {
			f.links["entry-0"].set(cutRefusing, func(netip.AddrPort) bool { return true })
		}
		for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
			for _, code := range invalidStatuses {
				text := version + " " + code
				status.Store(&text)
				check(path)
			}
		}
	}
}
