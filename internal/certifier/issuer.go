package certifier

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// serialBits is the length of a certificate's random serial number.
	serialBits = 120
	// clockSkew is the tolerated lag of a peer's clock behind the issuer's.
	clockSkew = time.Minute

	privateKeyMode  os.FileMode = 0o600
	certificateMode os.FileMode = 0o644
	directoryMode   os.FileMode = 0o755
)

// Issuer is a certificate authority for demonstrations and tests. Its key is kept in
// memory only.
type Issuer struct {
	directory   string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewIssuer creates an authority and writes its certificate to authority.pem in the
// directory, which it creates if necessary.
func NewIssuer(directory string, validity time.Duration) (*Issuer, error) {
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return nil, eris.Wrap(err, "make directory")
	}
	template, err := newTemplate("wigeonstand authority", validity)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "generate key")
	}
	issuer := &Issuer{directory: directory, certificate: template, key: key}
	der, err := issuer.sign(template, key)
	if err != nil {
		return nil, err
	}
	if issuer.certificate, err = x509.ParseCertificate(der); err != nil {
		return nil, eris.Wrap(err, "parse authority")
	}
	return issuer, writePEM(issuer.authority(), "CERTIFICATE", der, certificateMode)
}

// Issue creates a key pair for servers and clients with the addresses, and writes it
// to NAME.pem and NAME-key.pem. If the files exist, it replaces them, the key first.
func (i *Issuer) Issue(name string, validity time.Duration, addresses ...netip.Addr) (Files, error) {
	template, err := newTemplate(name, validity)
	if err != nil {
		return Files{}, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	for _, address := range addresses {
		template.IPAddresses = append(template.IPAddresses, net.IP(address.AsSlice()))
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Files{}, eris.Wrap(err, "generate key")
	}
	der, err := i.sign(template, key)
	if err != nil {
		return Files{}, err
	}
	return i.write(name, der, key)
}

func (i *Issuer) sign(template *x509.Certificate, key *ecdsa.PrivateKey) ([]byte, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, i.certificate, &key.PublicKey, i.key)
	return der, eris.Wrap(err, "sign certificate")
}

func (i *Issuer) authority() string { return filepath.Join(i.directory, "authority.pem") }

func (i *Issuer) write(name string, der []byte, key *ecdsa.PrivateKey) (Files, error) {
	files := Files{
		Certificate: filepath.Join(i.directory, name+".pem"),
		Key:         filepath.Join(i.directory, name+"-key.pem"),
		Authority:   i.authority(),
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Files{}, eris.Wrap(err, "encode key")
	}
	if err := writePEM(files.Key, "PRIVATE KEY", keyDER, privateKeyMode); err != nil {
		return Files{}, err
	}
	return files, writePEM(files.Certificate, "CERTIFICATE", der, certificateMode)
}

func newTemplate(name string, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, eris.Wrap(err, "generate serial number")
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber:          serial,
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             now.Add(-clockSkew),
		NotAfter:              now.Add(validity),
		BasicConstraintsValid: true,
	}, nil
}

// writePEM replaces the file atomically.
func writePEM(name, kind string, der []byte, mode os.FileMode) error {
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	temporary := name + ".partial"
	if err := os.WriteFile(temporary, text, mode); err != nil {
		return eris.Wrap(err, "write file")
	}
	return eris.Wrap(os.Rename(temporary, name), "replace file")
}
