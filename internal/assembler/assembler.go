// Package assembler builds one instance from its components, starts them in order
// and shuts them down gracefully. Run is its only entry point.
package assembler

import (
	"context"
	"crypto/tls"
	"io"
	"os"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/administrator"
	"github.com/wigeonstand/wigeonstand/internal/certifier"
	"github.com/wigeonstand/wigeonstand/internal/configurer"
	"github.com/wigeonstand/wigeonstand/internal/connector"
	"github.com/wigeonstand/wigeonstand/internal/dispatcher"
	"github.com/wigeonstand/wigeonstand/internal/forwarder"
	"github.com/wigeonstand/wigeonstand/internal/logger"
	"github.com/wigeonstand/wigeonstand/internal/meter"
	"github.com/wigeonstand/wigeonstand/internal/prober"
	"github.com/wigeonstand/wigeonstand/internal/publisher"
	"github.com/wigeonstand/wigeonstand/internal/receiver"
)

// daemon holds the components of one instance.
type daemon struct {
	settings      *configurer.Settings
	log           *logger.Logger
	meter         *meter.Meter
	store         *connector.Connector
	follower      *publisher.Follower
	dispatcher    *dispatcher.Dispatcher
	prober        *prober.Prober
	peerClient    *forwarder.Client
	peerTLS       *tls.Config
	peerServer    *forwarder.Server
	peerDirectory *peerDirectory
	forwarder     *forwarder.Forwarder
	receiver      *receiver.Receiver

	administrator  *administrator.Administrator
	operatorTLS    *tls.Config
	drainRequested chan struct{}
	drainOnce      sync.Once

	network     Network
	baseContext context.Context

	generation atomic.Pointer[generation]
	work       sync.WaitGroup
}

// Run runs one instance until ctx is done, an operator drains the instance or its
// caller listener fails. In the first two cases it shuts down gracefully and returns
// nil. Logs go to w.
func Run(ctx context.Context, settings *configurer.Settings, w io.Writer, options ...Option) error {
	d, err := newDaemon(settings, w, options...)
	if err != nil {
		return err
	}
	return d.run(ctx)
}

func newLogger(settings configurer.Log, w io.Writer) (*logger.Logger, error) {
	level, err := log.ParseLevel(strings.ToLower(settings.Level))
	if err != nil {
		return nil, eris.Wrap(err, "parse log level")
	}
	options := []logger.Option{logger.WithLevel(level)}
	if settings.Format == configurer.LogJSON {
		options = append(options, logger.WithJSON())
	}
	return logger.New(w, options...), nil
}

// readKeyFile returns the contents of a key file without surrounding white space.
func readKeyFile(path string) (string, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return "", eris.Wrap(err, "read key file")
	}
	return strings.TrimSpace(string(body)), nil
}

// newCertifier returns nil if the settings disable TLS.
func newCertifier(settings configurer.TLS, l *logger.Logger) (*certifier.Certifier, error) {
	if settings.Insecure {
		return nil, nil
	}
	return certifier.New(certifier.Files{
		Certificate: settings.Certificate, Key: settings.Key, Authority: settings.CA,
	}, certifier.WithLogger(l))
}
