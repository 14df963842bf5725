// Package certifier owns the TLS configurations of the process: it loads key
// pairs and authorities from files, takes changed files into use without a
// restart, and issues certificates for demonstrations and tests. It does not
// own which connections are secured, nor callers' keys.
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
	defaultPollInterval = 5 * time.Second
	defaultExpiryWarning  = 14 * 24 * time.Hour
	// warningInterval is the time between two warnings of one certificate.
	warningInterval = time.Hour
)

// Files names the PEM files of one side of a connection.
type Files struct {
	Certificate string
	Key         string
	// Authority is empty if the peer's certificate is not checked (server) or
	// is checked against the system's authorities (client).
	Authority string
}

// Certifier holds the key pair and authority of one set of files, and follows
// changes of the files while Run runs. It is safe for concurrent use.
type Certifier struct {
	files    Files
	pollInterval time.Duration
	expiryWarning  time.Duration
	log      *logger.Logger
	expiryGauge   prometheus.Gauge

	current  atomic.Pointer[keyMaterial]
	warnedAt time.Time
}

// keyMaterial is what was loaded from the files at one time.
type keyMaterial struct {
	keyPair     *tls.Certificate
	authorities     *x509.CertPool
	expires  time.Time
	modTimes [3]time.Time
}

// Option sets one property of a Certifier.
type Option func(*Certifier)

// WithPollInterval sets how often the files are looked at.
func WithPollInterval(d time.Duration) Option { return func(c *Certifier) { c.pollInterval = d } }

// WithExpiryWarning sets how long before its end a certificate is warned of.
func WithExpiryWarning(d time.Duration) Option { return func(c *Certifier) { c.expiryWarning = d } }

// WithLogger sets where events are logged.
func WithLogger(l *logger.Logger) Option { return func(c *Certifier) { c.log = l } }

// WithMeter publishes the end of the certificate, as a Unix time, under the
// name given, which must be unique in the meter.
func WithMeter(m *meter.Meter, name string) Option {
	return func(c *Certifier) {
		c.expiryGauge = m.NewGauge(name, "End of the certificate's validity, as a Unix time in seconds.")
	}
}

// New loads the files and returns a Certifier.
func New(files Files, options ...Option) (*Certifier, error) {
	c := &Certifier{
		files:    files,
		pollInterval: defaultPollInterval,
		expiryWarning:  defaultExpiryWarning,
		log:      logger.Discard(),
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

// Run takes changed files into use until ctx ends. Files that can't be loaded
// leave what is in use as it is.
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

// Expires returns the end of the certificate's validity; zero if there is none.
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

// modTimes returns the times at which the files were last changed; zero for
// one that is missing.
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

// load reads the files. The times are taken first, so that a change during the
// load is seen as a change at the next look.
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
		return eris.Wrapf(err, "load key pair of %s", files.Certificate)
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
		return eris.Wrapf(err, "load authority %s", files.Authority)
	}
	m.authorities = x509.NewCertPool()
	if !m.authorities.AppendCertsFromPEM(text) {
		return eris.Errorf("authority %s holds no certificate", files.Authority)
	}
	return nil
}
