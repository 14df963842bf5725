package composer

import (
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"github.com/wigeonstand/wigeonstand/internal/accepter"
	"github.com/wigeonstand/wigeonstand/internal/configurer"
	"github.com/wigeonstand/wigeonstand/internal/logger"
	"github.com/wigeonstand/wigeonstand/internal/meter"
	"github.com/wigeonstand/wigeonstand/internal/starter"
)

const (
	// connectionMemoryDivisor and peerMemoryDivisor give the parts of the memory for the connections of
	// callers, with the heads of their requests, and for those of other instances, with their messages.
	connectionMemoryDivisor = 12
	peerMemoryDivisor       = 10
	// statusMemory is that for the connections of readiness checks and metrics.
	statusMemory = 2 << 20
	// descriptorDivisor gives the part of the descriptors that callers' connections may use.
	descriptorDivisor = 2
	// The receive buffers limit what the kernel holds of a connection that is not read. It doubles them.
	callerReceiveBuffer = 16 << 10
	statusReceiveBuffer = 4 << 10
	peerReceiveBuffer   = 16 << 10
	// maxStatusHeaderBytes and statusTimeout limit the requests for readiness and metrics.
	maxStatusHeaderBytes = 4 << 10
	statusTimeout        = 10 * time.Second
	// headerTimeout limits the reading of a request's header.
	headerTimeout = 10 * time.Second
	// idleTimeout closes callers' idle connections. It is above the idle timeout
	// that operators set for callers, who reuse connections for up to four fifths
	// of that.
	idleTimeout = 40 * time.Second
	// maxHeaderBytes limits a request's header. It is above the limit that
	// operators set for callers.
	maxHeaderBytes = 64 << 10
)

// connectionBudgets are the memory for the connections of callers, of other instances, and of
// readiness checks and metrics.
type connectionBudgets struct{ callers, peers, status *accepter.Budget }

func newConnectionBudgets(settings *configurer.EntrySettings, l *logger.Logger) connectionBudgets {
	memory := memoryBytes(settings)
	size := memory / connectionMemoryDivisor
	var descriptors unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &descriptors); err == nil {
		size = min(size, accepter.Size(int64(min(descriptors.Cur, math.MaxInt32))/descriptorDivisor))
	}
	return connectionBudgets{
		callers: accepter.NewBudget(size, l), peers: accepter.NewBudget(memory/peerMemoryDivisor, l), status: accepter.NewBudget(statusMemory, l),
	}
}

// observeConnections adds the metric of the connections that were closed for their memory.
func observeConnections(m *meter.Meter, budgets connectionBudgets) {
	m.NewGaugeFunc("entry_connections_evicted", "Connections that were closed, or not accepted, as their memory was needed for others.", func() float64 {
		return float64(budgets.callers.Evictions() + budgets.peers.Evictions() + budgets.status.Evictions())
	})
}

// listenerConfig is the address of a listener and the limits of its connections.
type listenerConfig struct {
	address       netip.AddrPort
	budget        *accepter.Budget
	cost          accepter.Cost
	receiveBuffer int
}

// newStatusServer returns a server of requests that have no body.
func newStatusServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: statusTimeout, WriteTimeout: statusTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxStatusHeaderBytes, ConnState: accepter.ConnState,
	}
}

// listen listens on the addresses. A start may come before the end of the process that had them.
func (e *Entry) listen(ctx context.Context, configs ...listenerConfig) ([]net.Listener, error) {
	starting := starter.New(e.log)
	var listeners []net.Listener
	for _, config := range configs {
		listener, err := starting.Listen(ctx, config.address, config.receiveBuffer)
		if err != nil {
			for _, l := range listeners {
				_ = l.Close() // The error of Listen is returned.
			}
			return nil, err
		}
		listeners = append(listeners, accepter.New(listener, e.log, accepter.WithBudget(config.budget, config.cost)))
	}
	return listeners, nil
}

// serveMetrics serves the metrics until ctx ends. Requests are served without them.
func (e *Entry) serveMetrics(ctx context.Context) {
	admin := newStatusServer(e.meter.Handler())
	listener, err := starter.New(e.log, starter.WithPatience(0)).Listen(ctx, e.settings.AdminListen, statusReceiveBuffer)
	if err != nil {
		return // The instance stops.
	}
	stop := context.AfterFunc(ctx, func() { _ = admin.Close() }) // Its connections end with the process.
	defer stop()
	if err := admin.Serve(accepter.New(listener, e.log, accepter.WithBudget(e.connections.status, accepter.HeadCost))); !errors.Is(err, http.ErrServerClosed) {
		e.log.Log(eventMetricsUnavailable, "Cause", err)
	}
}

// errorLogWriter logs the lines of an http.Server's ErrorLog as events.
type errorLogWriter struct{ log *logger.Logger }

// Write implements io.Writer.
func (w errorLogWriter) Write(line []byte) (int, error) {
	w.log.Log(eventListenerError, "Text", string(line))
	return len(line), nil
}
