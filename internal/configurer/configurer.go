package configurer

import (
	"net/netip"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/loader"
)

const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20
)

// DefaultSettings returns the values of the settings that have a default.
func DefaultSettings() *Settings {
	return &Settings{
		Limits: Limits{
			BodyBytes:     4 * mebibyte,
			HeaderBytes:   32 * kibibyte,
			HeaderTimeout: 5 * time.Second,
			IdleTimeout:   60 * time.Second,
			BacklogBytes:  16 * mebibyte,
		},
		Lease:        Lease{TTL: 5 * time.Second, Renew: time.Second},
		Commit:       Commit{Interval: 50 * time.Millisecond},
		Store:        Store{WritesPerSecond: 300, ReadsPerSecond: 2000, ShareOf: 12},
		DrainTimeout: 60 * time.Second,
		DrainGrace:   2 * time.Second,
		Log:          Log{Format: LogText, Level: "Info"},
		Document:     Document{PollInterval: 2 * time.Second},
	}
}

// Load reads the settings file at the path. All errors in its text are returned
// together as loader.Errors.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read settings file")
	}
	return Parse(path, text)
}

// Parse reads the text of a settings file. The file name is used in errors only.
func Parse(file string, text []byte) (*Settings, error) {
	settings := DefaultSettings()
	positions, err := loader.Load(loader.Source{File: file, Text: text}, settings)
	c := &checker{settings: settings, positions: positions, errors: loader.AsErrors(err)}
	c.checkListeners()
	c.checkPeerAddress()
	c.checkTLS()
	if err := c.errors.Err(); err != nil {
		return nil, err
	}
	return settings, nil
}

// checker is the state of one call of Parse.
type checker struct {
	settings  *Settings
	positions *loader.Positions
	errors    loader.Errors
}

func (c *checker) fail(path, format string, args ...any) {
	if !c.errors.Has(path) {
		c.errors.Add(c.positions.At(path), path, format, args...)
	}
}

func (c *checker) checkListeners() {
	paths := map[netip.AddrPort]string{}
	listeners := []struct {
		path    string
		address netip.AddrPort
	}{
		{"CallerListen", c.settings.CallerListen},
		{"OperatorListen", c.settings.OperatorListen},
		{"PeerListen", c.settings.PeerListen},
		{"AdminListen", c.settings.AdminListen},
	}
	for _, listener := range listeners {
		if !listener.address.IsValid() || listener.address.Port() == 0 {
			continue
		}
		if first, duplicate := paths[listener.address]; duplicate {
			c.fail(listener.path, "%s is given twice, first as %s at %s", listener.address, first, c.positions.At(first))
			continue
		}
		paths[listener.address] = listener.path
	}
}

// checkPeerAddress sets the default of PeerAddress and rejects an address that
// other instances cannot dial.
func (c *checker) checkPeerAddress() {
	if !c.settings.PeerAddress.IsValid() {
		c.settings.PeerAddress = c.settings.PeerListen
	}
	address := c.settings.PeerAddress
	if address.IsValid() && address.Addr().IsUnspecified() {
		c.fail("PeerAddress", "PeerAddress is required, because other instances cannot dial %s", address)
	}
}

func (c *checker) checkTLS() {
	c.checkServerTLS("CallerTLS", c.settings.CallerTLS)
	c.checkServerTLS("OperatorTLS", c.settings.OperatorTLS)
	c.checkServerTLS("PeerTLS", c.settings.PeerTLS)
	if !c.settings.PeerTLS.Insecure && c.settings.PeerTLS.CA == "" {
		c.fail("PeerTLS.CA", "CA is required, because instances verify each other's certificates")
	}
	c.checkCertificateFiles("EndpointTLS", c.settings.EndpointTLS)
}

// checkServerTLS requires a certificate unless Insecure turns TLS off explicitly.
func (c *checker) checkServerTLS(path string, files TLS) {
	if !files.Insecure && files.Certificate == "" && files.Key == "" {
		c.fail(path, "%s needs Certificate and Key, or Insecure: true", path)
		return
	}
	c.checkCertificateFiles(path, files)
}

func (c *checker) checkCertificateFiles(path string, files TLS) {
	if (files.Certificate == "") != (files.Key == "") {
		c.fail(path, "%s needs both Certificate and Key", path)
	}
	given := files.Certificate != "" || files.Key != "" || files.CA != ""
	if files.Insecure && given {
		c.fail(path+".Insecure", "Insecure is set, but %s also names files", path)
	}
}
