package dispatcher_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/dispatcher"
)

// A service in trouble answered with a status code that HTTP does not have, which counted as its answer.
func TestCallWithAnInvalidStatusHasNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		var listen net.ListenConfig
		listener, err := listen.Listen(t.Context(), "tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = listener.Close() }) // Ends Accept.
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }() // The test has what it needs.
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
				return
			}
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s X\r\nContent-Length: 4\r\n\r\nbody", status) // The test checks what arrives.
		}()
		d := dispatcher.New()
		defer d.Close()
		endpoint := &compiler.Endpoint{Name: "s1", Service: "docket", Address: netip.MustParseAddrPort(listener.Addr().String())}
		response, err := d.Call(t.Context(), docketService, endpoint, lodgeCall)
		if err == nil {
			t.Errorf("status %s: %+v", status, response)
			continue
		}
		if diff := cmp.Diff(dispatcher.Unknown, dispatcher.ReasonOf(err)); diff != "" {
			t.Errorf("status %s: %v: %s", status, err, diff)
		}
	}
}
