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

// DefaultSettings returns the settings that a file need not give.
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

// Load reads a settings file. Faults in it are returned together as
// loader.Errors.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "reading the settings")
	}
	return Parse(path, text)
}

// Parse reads the text of a settings file; the name is for its errors.
func Parse(file string, text []byte) (*Settings, error) {
	settings := DefaultSettings()
	places, err := loader.Load(loader.Source{File: file, Text: text}, settings)
	c := &checking{settings: settings, places: places, errors: loader.AsErrors(err)}
	c.checkListeners()
	c.checkPeerAddress()
	c.checkTLS()
	if err := c.errors.Err(); err != nil {
		return nil, err
	}
	return settings, nil
}

// checking is the state of one call of Parse.
type checking struct {
	settings *Settings
	places   *loader.Positions
	errors   loader.Errors
}

func (c *checking) fail(path, format string, args ...any) {
	if !c.errors.Has(path) {
		c.errors.Add(c.places.At(path), path, format, args...)
	}
}

func (c *checking) checkListeners() {
	taken := map[netip.AddrPort]string{}
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
		if rival, again := taken[listener.address]; again {
			c.fail(listener.path, "%s is given twice, first as %s at %s", listener.address, rival, c.places.At(rival))
			continue
		}
		taken[listener.address] = listener.path
	}
}

// checkPeerAddress makes sure that other instances can dial this one.
func (c *checking) checkPeerAddress() {
	if !c.settings.PeerAddress.IsValid() {
		c.settings.PeerAddress = c.settings.PeerListen
	}
	address := c.settings.PeerAddress
	if address.IsValid() && address.Addr().IsUnspecified() {
		c.fail("PeerAddress", "PeerAddress must be given, as other instances cannot dial %s", address)
	}
}

func (c *checking) checkTLS() {
	c.checkServer("CallerTLS", c.settings.CallerTLS)
	c.checkServer("OperatorTLS", c.settings.OperatorTLS)
	c.checkServer("PeerTLS", c.settings.PeerTLS)
	if !c.settings.PeerTLS.Insecure && c.settings.PeerTLS.CA == "" {
		c.fail("PeerTLS.CA", "CA is required, as instances check each other's certificates")
	}
	c.checkPair("EndpointTLS", c.settings.EndpointTLS)
}

// checkServer needs a certificate unless TLS is turned off in writing.
func (c *checking) checkServer(path string, files TLS) {
	if !files.Insecure && files.Certificate == "" && files.Key == "" {
		c.fail(path, "%s needs Certificate and Key, or Insecure: true", path)
		return
	}
	c.checkPair(path, files)
}

func (c *checking) checkPair(path string, files TLS) {
	if (files.Certificate == "") != (files.Key == "") {
		c.fail(path, "%s needs both Certificate and Key", path)
	}
	given := files.Certificate != "" || files.Key != "" || files.CA != ""
	if files.Insecure && given {
		c.fail(path+".Insecure", "Insecure is set although %s names files", path)
	}
}
