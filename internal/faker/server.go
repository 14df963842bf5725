package faker

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/logger"
)

const readHeaderTimeout = 10 * time.Second

// Server configures the HTTP server of a fake.
type Server struct {
	Address netip.AddrPort
	// Certificate and Key are paths of PEM files. If Certificate is empty, the
	// server does not use TLS.
	Certificate string
	Key         string
	// Linger is how long new requests are still accepted after the shutdown
	// has begun.
	Linger time.Duration
	// Grace is the maximum time to wait for requests in flight after Linger.
	Grace time.Duration
	// Stopping is called when the shutdown begins; it may be nil.
	Stopping func()
}

// Serve serves the handler until the context is done, then shuts down: it accepts
// new requests for s.Linger, then waits up to s.Grace for the requests in flight.
func (s Server) Serve(ctx context.Context, log *logger.Logger, handler http.Handler) error {
	var config net.ListenConfig
	plain, err := config.Listen(ctx, "tcp", s.Address.String())
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	return s.ServeOn(ctx, log, plain, handler)
}

// ServeOn is like Serve, but serves on the given listener, which it closes.
func (s Server) ServeOn(ctx context.Context, log *logger.Logger, plain net.Listener, handler http.Handler) error {
	listener := NewListener(plain)
	secured, err := s.withTLS(listener)
	if err != nil {
		_ = plain.Close()
		return err
	}
	server := &http.Server{
		Handler:           listener.WithSilence(handler),
		ReadHeaderTimeout: readHeaderTimeout,
		ConnContext:       WithConnection,
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(secured) }()
	log.Log(Serving, "Address", plain.Addr().String(), "TLS", s.Certificate != "")
	select {
	case err := <-failed:
		return eris.Wrap(err, "serve")
	case <-ctx.Done():
	}
	if s.Stopping != nil {
		s.Stopping()
	}
	time.Sleep(s.Linger)
	s.stop(log, server)
	if err := <-failed; !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "serve")
	}
	return nil
}

// stop shuts the server down. Requests in flight are aborted after s.Grace.
func (s Server) stop(log *logger.Logger, server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), s.Grace)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		log.Log(CutOff, "Error", err)
		_ = server.Close()
	}
	log.Log(Stopped)
}

// withTLS wraps the listener in TLS if s.Certificate is set.
func (s Server) withTLS(l net.Listener) (net.Listener, error) {
	if s.Certificate == "" {
		return l, nil
	}
	certificate, err := tls.LoadX509KeyPair(s.Certificate, s.Key)
	if err != nil {
		return nil, eris.Wrap(err, "load the certificate")
	}
	config := &tls.Config{
		Certificates: []tls.Certificate{certificate},
		MinVersion:   tls.VersionTLS12,
		NextProtos:   []string{"h2", "http/1.1"},
	}
	return tls.NewListener(l, config), nil
}
