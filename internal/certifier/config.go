package certifier

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/rotisserie/eris"
)

var errNoKeyPair = eris.New("no key pair is configured")

// ServerConfig returns a configuration that shows the certificate and does not ask
// for the peer's. Each handshake uses the files as last loaded.
func (c *Certifier) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS13,
		GetCertificate: c.serverCertificate,
		NextProtos:     []string{"http/1.1"},
	}
}

// MutualServerConfig returns a configuration that requires a certificate of the
// authority from the peer. Each handshake uses the files as last loaded.
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
		// A resumed session would outlive a change of the authority.
		SessionTicketsDisabled: true,
	}, nil
}

// ClientConfig returns a configuration that checks the server's certificate against
// the authority last loaded, and shows the own certificate if there is one and
// the server asks. Call it for each connection, so that a changed authority is
// taken into use.
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
