package certifier_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"github.com/wigeonstand/wigeonstand/internal/certifier"
	"github.com/wigeonstand/wigeonstand/internal/logger"
	"github.com/wigeonstand/wigeonstand/internal/meter"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const validity = 30 * 24 * time.Hour

var loopback = netip.MustParseAddr("127.0.0.1")

func newIssuer(t *testing.T) *certifier.Issuer {
	t.Helper()
	issuer, err := certifier.NewIssuer(t.TempDir(), validity)
	if err != nil {
		t.Fatal(err)
	}
	return issuer
}

func issue(t *testing.T, issuer *certifier.Issuer, name string, d time.Duration) certifier.Files {
	t.Helper()
	files, err := issuer.Issue(name, d, loopback)
	if err != nil {
		t.Fatal(err)
	}
	return files
}

func newCertifier(t *testing.T, files certifier.Files, options ...certifier.Option) *certifier.Certifier {
	t.Helper()
	c, err := certifier.New(files, options...)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// handshake connects a client to a server and returns the common name in the server's
// certificate and the errors of both sides.
func handshake(t *testing.T, server, client *tls.Config, name string) (commonName string, serverErr, clientErr error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	done := make(chan struct{})
	go func() {
		defer close(done)
		serverErr = acceptOne(listener, server)
	}()
	client.ServerName = name
	commonName, clientErr = connect(listener.Addr().String(), client)
	<-done
	return commonName, serverErr, clientErr
}

// acceptOne accepts one connection and writes one byte to it.
func acceptOne(listener net.Listener, config *tls.Config) error {
	conn, err := listener.Accept()
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_, err = tls.Server(conn, config).Write([]byte{1})
	return err
}

// connect opens a connection, reads one byte from it and returns the common name in
// the server's certificate.
func connect(address string, config *tls.Config) (string, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	secured := tls.Client(conn, config)
	if _, err := secured.Read(make([]byte, 1)); err != nil {
		return "", err
	}
	return secured.ConnectionState().PeerCertificates[0].Subject.CommonName, nil
}

func TestHandshakeRequiresValidCertificates(t *testing.T) {
	own, other := newIssuer(t), newIssuer(t)
	server := newCertifier(t, issue(t, own, "server", validity))
	client := newCertifier(t, issue(t, own, "client", validity))
	untrusted := newCertifier(t, issue(t, other, "untrusted", validity))
	expired := newCertifier(t, issue(t, own, "expired", -time.Second))
	tls12Client := client.ClientConfig()
	tls12Client.MinVersion, tls12Client.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
	noCertificate := client.ClientConfig()
	noCertificate.GetClientCertificate = nil
	untrustedClient := untrusted.ClientConfig()
	untrustedClient.RootCAs = client.ClientConfig().RootCAs
	tests := []struct {
		name   string
		server *tls.Config
		client *tls.Config
		host   string
		works  bool
	}{
		{"Server", server.ServerConfig(), client.ClientConfig(), "127.0.0.1", true},
		{"ServerOfAnotherAuthority", untrusted.ServerConfig(), client.ClientConfig(), "127.0.0.1", false},
		{"ServerAtAnotherAddress", server.ServerConfig(), client.ClientConfig(), "127.0.0.2", false},
		{"ServerExpired", expired.ServerConfig(), client.ClientConfig(), "127.0.0.1", false},
		{"OldProtocol", server.ServerConfig(), tls12Client, "127.0.0.1", false},
		{"Mutual", server.MutualServerConfig(), client.ClientConfig(), "127.0.0.1", true},
		{"MutualWithoutCertificate", server.MutualServerConfig(), noCertificate, "127.0.0.1", false},
		{"MutualOfAnotherAuthority", server.MutualServerConfig(), untrustedClient, "127.0.0.1", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, serverErr, clientErr := handshake(t, test.server, test.client, test.host)
			works := serverErr == nil && clientErr == nil
			if diff := cmp.Diff(test.works, works); diff != "" {
				t.Errorf("server %v, client %v: %s", serverErr, clientErr, diff)
			}
		})
	}
}

func TestRunReloadsChangedFiles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		issuer := newIssuer(t)
		files := issue(t, issuer, "server", validity)
		server := newCertifier(t, files, certifier.WithPollInterval(time.Second))
		config, client := server.ServerConfig(), newCertifier(t, files)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- server.Run(ctx) }()

		replacement := issue(t, issuer, "replacement", validity)
		copyFile(t, replacement.Key, files.Key)
		waitForReload()
		expectCertificate(t, config, client, "server", "only the key was changed")
		copyFile(t, replacement.Certificate, files.Certificate)
		waitForReload()
		expectCertificate(t, config, client, "replacement", "both were changed")
		if err := os.Remove(files.Certificate); err != nil {
			t.Fatal(err)
		}
		waitForReload()
		expectCertificate(t, config, client, "replacement", "the certificate was removed")
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

func waitForReload() {
	time.Sleep(2 * time.Second)
	synctest.Wait()
}

func expectCertificate(t *testing.T, config *tls.Config, client *certifier.Certifier, want, state string) {
	t.Helper()
	commonName, serverErr, clientErr := handshake(t, config, client.ClientConfig(), "127.0.0.1")
	if diff := cmp.Diff(want, commonName); diff != "" {
		t.Errorf("%s: server %v, client %v: %s", state, serverErr, clientErr, diff)
	}
}

func copyFile(t *testing.T, from, to string) {
	t.Helper()
	text, err := os.ReadFile(from)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(to, text, 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestRunWarnsBeforeExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		m := meter.New()
		files := issue(t, newIssuer(t), "server", 3*time.Hour)
		c := newCertifier(t, files, certifier.WithExpiryWarning(2*time.Hour),
			certifier.WithLogger(logger.New(&log)), certifier.WithMeter(m, "certificate_end"))
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Hour+time.Minute)
		defer cancel()
		if err := c.Run(ctx); err != nil {
			t.Error(err)
		}
		if diff := cmp.Diff(2, strings.Count(log.String(), "CertificateExpiresSoon")); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff(float64(c.Expires().Unix()), gaugeValue(t, m, "wigeonstand_certificate_end")); diff != "" {
			t.Error(diff)
		}
	})
}

func gaugeValue(t *testing.T, m *meter.Meter, name string) float64 {
	t.Helper()
	families, err := m.Registry().Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() == name {
			return family.GetMetric()[0].GetGauge().GetValue()
		}
	}
	t.Fatalf("metric %s not found", name)
	return 0
}

func TestNewRejectsInvalidFiles(t *testing.T) {
	files := issue(t, newIssuer(t), "server", validity)
	other := issue(t, newIssuer(t), "server", validity)
	tests := map[string]certifier.Files{
		"Missing":    {Certificate: "missing.pem", Key: "missing.pem"},
		"WrongKey":   {Certificate: files.Certificate, Key: other.Key},
		"NoCertInCA": {Certificate: files.Certificate, Key: files.Key, Authority: files.Key},
		"OnlyKey":    {Key: files.Key},
	}
	for name, test := range tests {
		if _, err := certifier.New(test); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}
