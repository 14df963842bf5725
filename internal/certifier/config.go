package certifier

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/rotisserie/eris"
)

var errNoKeyPair = eris.New("no key pair configured")

// ServerConfig returns a server configuration that does not request a client
// certificate. Each handshake uses the key pair last loaded.
func (c *Certifier) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS13,
		GetCertificate: c.serverCertificate,
		NextProtos:     []string{"http/1.1"},
	}
}

// MutualServerConfig returns a server configuration that requires a client
// certificate signed by the authority. Each handshake uses the key pair and authority
// last loaded.
func (c *Certifier) MutualServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		GetCertificate:     c.serverCertificate,
		GetConfigForClient: c.mutualHandshakeConfig,
	}
}

func (c *Certifier) mutualHandshakeConfig(*tls.ClientHelloInfo) (*tls.Config, error) {
	authorities := c.current.Load().authorities
	if authorities == nil {
		authorities = x509.NewCertPool()
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS13,
		GetCertificate: c.serverCertificate,
		ClientAuth:     tls.RequireAndVerifyClientCert,
		ClientCAs:      authorities,
		// A resumed session would not be verified against a changed authority.
		SessionTicketsDisabled: true,
	}, nil
}

// ClientConfig returns a client configuration that verifies the server against the
// authority last loaded and presents the certificate, if there is one, on request.
// Call it for each connection: a configuration keeps the authority that it was
// created with.
func (c *Certifier) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		RootCAs:              c.current.Load().authorities,
		GetClientCertificate: c.clientCertificate,
	}
}

func (c *Certifier) serverCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	pair := c.current.Load().keyPair
	if pair == nil {
		return nil, errNoKeyPair
	}
	return pair, nil
}

func (c *Certifier) clientCertificate(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	pair := c.current.Load().keyPair
	if pair == nil {
		return &tls.Certificate{}, nil
	}
	return pair, nil
}
