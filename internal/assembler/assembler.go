// Package assembler owns the making of one instance out of its parts, and the
// order in which they start and stop. It does not own what any part does.
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

// daemon is one instance.
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

// Run runs one instance until ctx ends, then stops it as planned. Logs go to w.
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
		return nil, eris.Wrap(err, "log level")
	}
	options := []logger.Option{logger.WithLevel(level)}
	if settings.Format == configurer.LogJSON {
		options = append(options, logger.WithJSON())
	}
	return logger.New(w, options...), nil
}

// readKeyFile reads a key file, less the line's end.
func readKeyFile(path string) (string, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return "", eris.Wrap(err, "read key")
	}
	return strings.TrimSpace(string(body)), nil
}

// newCertifier returns nil for a connection without TLS.
func newCertifier(settings configurer.TLS, l *logger.Logger) (*certifier.Certifier, error) {
	if settings.Insecure {
		return nil, nil
	}
	return certifier.New(certifier.Files{
		Certificate: settings.Certificate, Key: settings.Key, Authority: settings.CA,
	}, certifier.WithLogger(l))
}
