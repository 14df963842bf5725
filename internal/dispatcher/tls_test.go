package dispatcher_test

import (
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/certifier"
	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/dispatcher"
)

// newCertifier issues and loads a certificate for the address.
func newCertifier(t *testing.T, issuer *certifier.Issuer, address string) *certifier.Certifier {
	t.Helper()
	files, err := issuer.Issue("endpoint", time.Hour, netip.MustParseAddr(address))
	if err != nil {
		t.Fatal(err)
	}
	c, err := certifier.New(files)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestNoRequestIsSentToEndpointWithWrongCertificate uses loopback connections,
// since a TLS handshake over an in-memory pipe can block both sides.
func TestNoRequestIsSentToEndpointWithWrongCertificate(t *testing.T) {
	tests := map[string]struct {
		certifiedFor string
		tls          bool
		want         dispatcher.Reason
		served       int
	}{
		"ValidCertificate":     {"127.0.0.1", true, "", 1},
		"WrongCertificate":     {"127.0.0.2", true, dispatcher.NotSent, 0},
		"PlainHTTPToTLSServer": {"127.0.0.1", false, "", 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			issuer, err := certifier.NewIssuer(t.TempDir(), time.Hour)
			if err != nil {
				t.Fatal(err)
			}
			c := newCertifier(t, issuer, test.certifiedFor)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			served := 0
			server := &http.Server{
				Handler:   http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served++ }),
				TLSConfig: c.ServerConfig(), ErrorLog: discardLogger(),
			}
			done := make(chan struct{})
			go func() {
				defer close(done)
				_ = server.ServeTLS(listener, "", "")
			}()
			d := dispatcher.New(dispatcher.WithTLS(c.ClientConfig))
			endpoint := &compiler.Endpoint{Name: "s1", TLS: test.tls, Address: netip.MustParseAddrPort(listener.Addr().String())}
			response, err := d.Call(t.Context(), docketService, endpoint, lodgeCall)
			if diff := cmp.Diff(test.want, failureOf(err).Reason); diff != "" {
				t.Errorf("response %+v, error %v: %s", response, err, diff)
			}
			d.Close()
			_ = server.Close()
			<-done
			if diff := cmp.Diff(test.served, served); diff != "" {
				t.Error(diff)
			}
		})
	}
}
