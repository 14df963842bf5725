package sender_test

import (
	"fmt"
	"io"
	"testing"

	"github.com/wigeonstand/wigeonstand/internal/sender"
)

// Responses with status codes that HTTP does not have, or that belong to no request, counted as
// responses, or as interim ones so that the response in their body was taken for that to the request.
func TestInvalidStatusEndsTheRequest(t *testing.T) {
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for _, status := range []string{"000", "001", "099", "101", "600", "999", "1000", "20", "-20", "+20", "2 0", "OK", ""} {
			for name, body := range map[string]string{"text": "body", "response": response("a", "forged")} {
				t.Run(fmt.Sprint(version, " ", status, " ", name), func(t *testing.T) {
					address := serve(t, func(w io.Writer, id string) {
						_, _ = fmt.Fprintf(w, "%s %s\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", version, status, id, len(body), body) // The test checks what arrives.
					})
					s := sender.New()
					defer s.Close()
					if got, err := send(t, s, address, "a"); err == nil {
						t.Errorf("got %q", got)
					}
				})
			}
		}
	}
}

// The body of an interim response, which must have none, was taken for the response to the request.
func TestInterimResponseWithABodyEndsTheRequest(t *testing.T) {
	forged := response("a", "forged")
	chunked := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(forged), forged)
	for _, text := range []string{
		fmt.Sprintf("HTTP/1.1 199 X\r\nContent-Length: %d\r\n\r\n%s", len(forged), forged),
		fmt.Sprintf("HTTP/1.1 100 Continue\r\nContent-Length: %d\r\n\r\n%s", len(forged), forged),
		"HTTP/1.1 102 Processing\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked,
	} {
		address := serve(t, func(w io.Writer, _ string) {
			_, _ = io.WriteString(w, text) // The test checks what arrives.
		})
		s := sender.New()
		defer s.Close()
		if got, err := send(t, s, address, "a"); err == nil {
			t.Errorf("%.30q: got %q", text, got)
		}
	}
}
