// Package certifier provides TLS configurations from certificate files. It loads key
// pairs and certificate authorities, reloads changed files without a restart, and
// issues certificates for demonstrations and tests.
package certifier

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/logger"
	"github.com/wigeonstand/wigeonstand/internal/meter"
)

const (
	defaultPollInterval  = 5 * time.Second
	defaultExpiryWarning = 14 * 24 * time.Hour
	// warningInterval is the least time between two warnings about a certificate.
	warningInterval = time.Hour
)

// Files contains the paths of the PEM files of one side of a connection.
type Files struct {
	Certificate string
	Key         string
	// Authority is the certificate authority of the peer. If it is empty, a client
	// verifies the server against the system's authorities, and MutualServerConfig
	// rejects every client.
	Authority string
}

// Certifier provides TLS configurations from one set of files, and reloads the files
// when they change while Run runs. It is safe for concurrent use.
type Certifier struct {
	files         Files
	pollInterval  time.Duration
	expiryWarning time.Duration
	log           *logger.Logger
	expiryGauge   prometheus.Gauge

	current  atomic.Pointer[keyMaterial]
	warnedAt time.Time
}

// keyMaterial is the content of the files as loaded at one time.
type keyMaterial struct {
	keyPair     *tls.Certificate
	authorities *x509.CertPool
	expires     time.Time
	modTimes    [3]time.Time
}

// Option configures a Certifier.
type Option func(*Certifier)

// WithPollInterval sets the interval at which the files are checked for changes.
func WithPollInterval(d time.Duration) Option { return func(c *Certifier) { c.pollInterval = d } }

// WithExpiryWarning sets the time before a certificate's expiry from which warnings
// are logged.
func WithExpiryWarning(d time.Duration) Option { return func(c *Certifier) { c.expiryWarning = d } }

// WithLogger sets the logger. Events are discarded by default.
func WithLogger(l *logger.Logger) Option { return func(c *Certifier) { c.log = l } }

// WithMeter publishes the certificate's expiry, as a Unix time in seconds, in a gauge
// of the given name, which must be unique in the meter.
func WithMeter(m *meter.Meter, name string) Option {
	return func(c *Certifier) {
		c.expiryGauge = m.NewGauge(name, "End of the certificate's validity, as a Unix time in seconds.")
	}
}

// New loads the files and returns a Certifier.
func New(files Files, options ...Option) (*Certifier, error) {
	c := &Certifier{
		files:         files,
		pollInterval:  defaultPollInterval,
		expiryWarning: defaultExpiryWarning,
		log:           logger.Discard(),
	}
	for _, option := range options {
		option(c)
	}
	loaded, err := load(files)
	if err != nil {
		return nil, err
	}
	c.install(loaded)
	return c, nil
}

// Run reloads changed files until ctx is done. If they cannot be loaded, the
// certificates loaded before stay in use. Run must not be called concurrently.
func (c *Certifier) Run(ctx context.Context) error {
	ticker := time.NewTicker(c.pollInterval)
	defer ticker.Stop()
	for {
		c.warnBeforeExpiry()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			c.reload()
		}
	}
}

// Expires returns the certificate's expiry, or zero if there is no certificate.
func (c *Certifier) Expires() time.Time { return c.current.Load().expires }

func (c *Certifier) install(loaded *keyMaterial) {
	c.current.Store(loaded)
	if c.expiryGauge != nil && !loaded.expires.IsZero() {
		c.expiryGauge.Set(float64(loaded.expires.Unix()))
	}
}

func (c *Certifier) reload() {
	if c.current.Load().modTimes == c.files.modTimes() {
		return
	}
	loaded, err := load(c.files)
	if err != nil {
		c.log.Log(eventReloadFailed, "Certificate", c.files.Certificate, "Cause", err)
		return
	}
	c.install(loaded)
	c.warnedAt = time.Time{}
	c.log.Log(eventReloaded, "Certificate", c.files.Certificate, "Expires", loaded.expires)
}

func (c *Certifier) warnBeforeExpiry() {
	expires := c.Expires()
	if expires.IsZero() || time.Until(expires) > c.expiryWarning {
		return
	}
	if !c.warnedAt.IsZero() && time.Since(c.warnedAt) < warningInterval {
		return
	}
	c.warnedAt = time.Now()
	c.log.Log(eventExpiresSoon, "Certificate", c.files.Certificate, "Expires", expires)
}

// modTimes returns the modification times of the files, zero for a missing file.
func (f Files) modTimes() [3]time.Time {
	var times [3]time.Time
	for i, name := range []string{f.Certificate, f.Key, f.Authority} {
		if name == "" {
			continue
		}
		if info, err := os.Stat(name); err == nil {
			times[i] = info.ModTime()
		}
	}
	return times
}

// load loads the files. It reads the modification times first, so that the next poll
// detects a change during the load.
func load(files Files) (*keyMaterial, error) {
	loaded := &keyMaterial{modTimes: files.modTimes()}
	if err := loaded.loadKeyPair(files); err != nil {
		return nil, err
	}
	if err := loaded.loadAuthority(files); err != nil {
		return nil, err
	}
	return loaded, nil
}

func (m *keyMaterial) loadKeyPair(files Files) error {
	if files.Certificate == "" && files.Key == "" {
		return nil
	}
	pair, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return eris.Wrapf(err, "load key pair of certificate %s", files.Certificate)
	}
	m.keyPair = &pair
	m.expires = pair.Leaf.NotAfter
	return nil
}

func (m *keyMaterial) loadAuthority(files Files) error {
	if files.Authority == "" {
		return nil
	}
	text, err := os.ReadFile(files.Authority)
	if err != nil {
		return eris.Wrapf(err, "read certificate authority %s", files.Authority)
	}
	m.authorities = x509.NewCertPool()
	if !m.authorities.AppendCertsFromPEM(text) {
		return eris.Errorf("certificate authority %s contains no certificate", files.Authority)
	}
	return nil
}
