package forwarder_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/forwarder"
)

// newSelfSignedCertificate returns a certificate and the pool that trusts it.
func newSelfSignedCertificate(t *testing.T) (tls.Certificate, *x509.CertPool) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "instance"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(parsed)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, pool
}

func TestMutualTLS(t *testing.T) {
	trusted, pool := newSelfSignedCertificate(t)
	untrusted, _ := newSelfSignedCertificate(t)
	listener, err := tls.Listen("tcp", "127.0.0.1:0", &tls.Config{
		Certificates: []tls.Certificate{trusted},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    pool,
	})
	if err != nil {
		t.Fatal(err)
	}
	owner := &doer{}
	server, err := forwarder.NewServer(owner, owner, owner)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(ctx, listener)
	}()
	for _, test := range []struct {
		name         string
		certificates []tls.Certificate
		accepted     bool
	}{{"Trusted", []tls.Certificate{trusted}, true}, {"Untrusted", []tls.Certificate{untrusted}, false}, {"None", nil, false}} {
		t.Run(test.name, func(t *testing.T) {
			client := forwarder.NewClient(forwarder.WithTLS(&tls.Config{Certificates: test.certificates, RootCAs: pool}))
			defer client.Close()
			_, err := client.Heartbeat(ctx, listener.Addr().String(), forwarder.Heartbeat{})
			if diff := cmp.Diff(test.accepted, err == nil); diff != "" {
				t.Error(diff, err)
			}
		})
	}
	cancel()
	<-done
}
