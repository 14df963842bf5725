// Package messenger implements remote procedure calls between instances, over drpc
// and encoded as CBOR. A Server dispatches calls to handlers by method name.
// Server and Client are safe for concurrent use.
package messenger

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/fxamacker/cbor/v2"
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/rotisserie/eris"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"

	"github.com/wigeonstand/wigeonstand/internal/dialer"
	"github.com/wigeonstand/wigeonstand/internal/extender"
	"github.com/wigeonstand/wigeonstand/internal/logger"
)

const (
	// dialTimeout limits the establishment of a connection. Instances are a few
	// milliseconds apart.
	dialTimeout = 150 * time.Millisecond
	// ackTimeout is how long sent data may remain unacknowledged before the
	// connection is closed.
	ackTimeout = 500 * time.Millisecond
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = 20 * time.Second
	// maxReplyBytes limits a reply that arrives in parts.
	maxReplyBytes = 16 << 20
	// maxIdle and maxIdlePerAddress limit the number of unused connections.
	maxIdle           = 256
	maxIdlePerAddress = 8

	// rpcName is the drpc method that carries all calls, and streamName the one that
	// carries all streams.
	rpcName    = "/wigeonstand.messenger.Instance/Call"
	streamName = "/wigeonstand.messenger.Instance/Stream"
	// compactName carries frequent calls with small messages. It is short, as each call states it,
	// and its messages have no envelope.
	compactName = "/d"
	// compactEnvelopeName carries calls as rpcName does, for instances of versions without
	// compactName.
	compactEnvelopeName = "/c"

	// maxOlder limits the number of instances of older versions that a client remembers, and
	// olderTimeout how long it calls them as such.
	maxOlder     = 1 << 12
	olderTimeout = time.Minute
)

// ErrStale means that a call had no reply in time on a connection that was used before. Connections
// may go silent one by one, so that this says nothing about the instance: the next call, on a new
// connection, does. If the call fails on that, too, the error is another one, as it is if the
// connection was closed: then the process has probably ended.
var ErrStale = errors.New("no reply on a connection that was used before")

// envelope is the wire form of requests and replies.
type envelope struct {
	Method string `cbor:"1,keyasint,omitempty"`
	Body   []byte `cbor:"2,keyasint,omitempty"`
	// Failure is the error text of a call without a reply: the method is unknown
	// or its handler returned an error.
	Failure string `cbor:"3,keyasint,omitempty"`
	// TakesParts is set in requests of clients that take long replies in parts. Instances of
	// versions without it reply at once.
	TakesParts bool `cbor:"4,keyasint,omitempty"`
	// Rest is, in a reply, the ID of the rest that follows; in a request, the ID of the rest to
	// continue with.
	Rest string `cbor:"5,keyasint,omitempty"`
}

// compactRequest is the wire form of requests by compactName. A reply is the encoded result, and a
// failure an error of drpc.
type compactRequest struct {
	_      struct{} `cbor:",toarray"`
	Method string
	Body   cbor.RawMessage
}

// cborEncoding implements drpc.Encoding.
type cborEncoding struct{}

func (cborEncoding) Marshal(m drpc.Message) ([]byte, error)   { return cbor.Marshal(m) }
func (cborEncoding) Unmarshal(b []byte, m drpc.Message) error { return cbor.Unmarshal(b, m) }

// Handler decodes the request body of one method and returns the reply.
type Handler func(ctx context.Context, body []byte) (any, error)

// Handle returns a Handler that calls a typed function.
func Handle[In, Out any](f func(ctx context.Context, in In) (Out, error)) Handler {
	return func(ctx context.Context, body []byte) (any, error) {
		var in In
		if err := cbor.Unmarshal(body, &in); err != nil {
			return nil, eris.Wrap(err, "decode the request")
		}
		return f(ctx, in)
	}
}

var eventHandlerPanicked = logger.Define(5070, "CallPanicked", log.ErrorLevel,
	"the handler of another instance's call panicked; the call failed and the instance goes on",
	"Report the cause with the instance's version.")

// Server serves calls from other instances.
type Server struct {
	handlers map[string]Handler
	streams  map[string]StreamHandler
	drpc     *drpcserver.Server
	log      *logger.Logger
	rests    remainders
}

// Option sets one property of a Server.
type Option func(*Server)

// WithLogger sets the logger of events.
func WithLogger(l *logger.Logger) Option { return func(s *Server) { s.log = l } }

// NewServer returns a Server that dispatches to the handlers by method name.
func NewServer(handlers map[string]Handler, options ...Option) (*Server, error) {
	s := &Server{handlers: handlers, log: logger.Discard()}
	for _, option := range options {
		option(s)
	}
	mux := drpcmux.New()
	if err := mux.Register(s, serviceDescription{}); err != nil {
		return nil, eris.Wrap(err, "register the drpc service")
	}
	s.drpc = drpcserver.New(mux)
	return s, nil
}

// Serve accepts connections until ctx is canceled.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	return s.drpc.Serve(ctx, listener)
}

// reader is a connection that limits the size of what is read of a message.
type reader interface{ MessageRead() }

// reportRead tells the connection of ctx that a message was read to its end.
func reportRead(ctx context.Context) {
	if transport, ok := drpcctx.Transport(ctx); ok {
		if r, ok := transport.(reader); ok {
			r.MessageRead()
		}
	}
}

func (s *Server) call(ctx context.Context, in *envelope) (*envelope, error) {
	reportRead(ctx)
	if in.Rest != "" {
		part, rest, err := s.rests.next(in.Rest)
		if err != nil {
			return &envelope{Failure: err.Error()}, nil
		}
		return &envelope{Body: part, Rest: rest}, nil
	}
	reply, err := s.handle(ctx, in.Method, in.Body)
	if err != nil {
		return &envelope{Failure: err.Error()}, nil
	}
	body, err := cbor.Marshal(reply)
	if err != nil {
		return nil, eris.Wrap(err, "encode the reply")
	}
	if !in.TakesParts {
		return &envelope{Body: body}, nil
	}
	part, rest := s.rests.split(body)
	return &envelope{Body: part, Rest: rest}, nil
}

func (s *Server) callCompact(ctx context.Context, in *compactRequest) (*cbor.RawMessage, error) {
	reportRead(ctx)
	reply, err := s.handle(ctx, in.Method, in.Body)
	if err != nil {
		return nil, err
	}
	body, err := cbor.Marshal(reply)
	return (*cbor.RawMessage)(&body), eris.Wrap(err, "encode the reply")
}

// handle calls the handler of the method. A panic, for example because of a message that no current
// instance sends, fails the call and not the process.
func (s *Server) handle(ctx context.Context, method string, body []byte) (reply any, err error) {
	handler := s.handlers[method]
	if handler == nil {
		return nil, eris.Errorf("unknown method %s", method)
	}
	defer func() {
		if cause := recover(); cause != nil {
			s.log.Log(eventHandlerPanicked, "Method", method, "Cause", cause, "Stack", string(debug.Stack()))
			err = eris.Errorf("the handler of %s panicked", method)
		}
	}()
	return handler(ctx, body)
}

// serviceDescription describes the service to drpc.
type serviceDescription struct{}

func (serviceDescription) NumMethods() int { return 4 }

func (serviceDescription) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	switch n {
	case 0, 2:
		receiver := func(server any, ctx context.Context, in, _ any) (drpc.Message, error) {
			return server.(*Server).call(ctx, in.(*envelope))
		}
		return map[int]string{0: rpcName, 2: compactEnvelopeName}[n], cborEncoding{}, receiver, (*Server).call, true
	case 1:
		receiver := func(server any, _ context.Context, in, _ any) (drpc.Message, error) {
			return nil, server.(*Server).stream(in.(drpc.Stream))
		}
		return streamName, cborEncoding{}, receiver, (*Server).stream, true
	case 3:
		receiver := func(server any, ctx context.Context, in, _ any) (drpc.Message, error) {
			return server.(*Server).callCompact(ctx, in.(*compactRequest))
		}
		return compactName, cborEncoding{}, receiver, (*Server).callCompact, true
	}
	return "", nil, nil, nil, false
}

// Client calls other instances and opens streams to them.
type Client struct {
	dialContext func(ctx context.Context, network, address string) (net.Conn, error)
	withTimeout Timeouts
	pool        *drpcpool.Pool[netip.AddrPort, drpcpool.Conn]
	// older holds, for instances without compactName, until when to call them as such.
	older *lru.Cache[netip.AddrPort, time.Time]
}

// Timeouts returns a context that ends after the timeout.
type Timeouts func(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc)

// ClientOption sets one property of a Client.
type ClientOption func(*Client)

// WithTimeouts sets the source of the timeouts of connections, context.WithTimeout by default.
func WithTimeouts(t Timeouts) ClientOption { return func(c *Client) { c.withTimeout = t } }

// WithDial sets the function that opens connections.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) ClientOption {
	return func(c *Client) { c.dialContext = dial }
}

// NewClient returns a Client.
func NewClient(options ...ClientOption) *Client {
	older, _ := lru.New[netip.AddrPort, time.Time](maxOlder) // It fails only for a size of 0.
	c := &Client{
		older:       older,
		dialContext: dialer.New(0, ackTimeout).DialContext, withTimeout: context.WithTimeout,
		pool: drpcpool.New[netip.AddrPort, drpcpool.Conn](drpcpool.Options{
			Expiration: idleTimeout, Capacity: maxIdle, KeyCapacity: maxIdlePerAddress,
		}),
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// dial connects to the address. The kernel may have established the connection when a busy host
// runs the dialer's timeout, so that the timeout is not that of the dialer.
func (c *Client) dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	ctx, cancel := c.withTimeout(ctx, dialTimeout)
	defer cancel()
	return c.dialContext(ctx, "tcp", address.String())
}

// closeIdle closes the unused connections to the address, so that the next call opens a new one.
func (c *Client) closeIdle(address netip.AddrPort) {
	for conn, found := c.pool.Take(address); found; conn, found = c.pool.Take(address) {
		_ = conn.Close() // Unused connections have no pending data.
	}
}

// Close closes the unused connections.
func (c *Client) Close() { _ = c.pool.Close() } // Unused connections have no pending data.

// Call calls the method of the instance at the address and decodes the reply into
// out. If it returns an error, the call may still have been executed. The error is ErrStale if there
// was no reply on a connection that was used before; the unused ones to the address are then closed.
func (c *Client) Call(ctx context.Context, address netip.AddrPort, method string, in, out any) error {
	return c.call(ctx, address, rpcName, method, in, out)
}

// isTimeout reports whether a call with the error was not answered before ctx ended, or what it sent
// was not acknowledged.
func isTimeout(ctx context.Context, err error) bool {
	return errors.Is(context.Cause(ctx), context.DeadlineExceeded) || errors.Is(err, syscall.ETIMEDOUT)
}

// CompactClient is a Client for frequent calls with small messages, which are shorter on the
// wire. Their replies are not divided into parts.
type CompactClient struct{ *Client }

// Call does what Client.Call does.
func (c CompactClient) Call(ctx context.Context, address netip.AddrPort, method string, in, out any) error {
	if until, found := c.older.Get(address); found && time.Now().Before(until) {
		return c.call(ctx, address, compactEnvelopeName, method, in, out)
	}
	err := c.callCompact(ctx, address, method, in, out)
	if isUnknownName(err, compactName) {
		c.older.Add(address, time.Now().Add(olderTimeout))
		return c.call(ctx, address, compactEnvelopeName, method, in, out)
	}
	return err
}

func (c *Client) callCompact(ctx context.Context, address netip.AddrPort, method string, in, out any) error {
	body, err := cbor.Marshal(in)
	if err != nil {
		return eris.Wrap(err, "encode the request")
	}
	ex := c.newExchange(ctx, address, method)
	defer ex.close()
	var reply cbor.RawMessage
	if err := ex.invoke(ctx, compactName, &compactRequest{Method: method, Body: body}, &reply); err != nil {
		return err
	}
	return eris.Wrap(cbor.Unmarshal(reply, out), "decode the reply")
}

// isUnknownName reports whether err is that of an instance without the drpc method. The library
// tells it from other errors only by the text.
func isUnknownName(err error, rpc string) bool {
	return err != nil && strings.Contains(err.Error(), fmt.Sprintf("unknown rpc: %q", rpc))
}

// exchange is one or more requests and replies on a connection.
type exchange struct {
	client  *Client
	conn    drpcpool.Conn
	address netip.AddrPort
	method  string
	// isReused is whether the connection was used before.
	isReused bool
}

// newExchange returns an exchange on an unused connection to the address, or else on a new one.
func (c *Client) newExchange(ctx context.Context, address netip.AddrPort, method string) *exchange {
	ex := &exchange{client: c, address: address, method: method, isReused: true}
	ex.conn = c.pool.Get(ctx, address, func(ctx context.Context, address netip.AddrPort) (drpcpool.Conn, error) {
		ex.isReused = false
		netConn, err := c.dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return drpcconn.New(netConn), nil
	})
	return ex
}

// close returns the connection to the pool.
func (ex *exchange) close() { _ = ex.conn.Close() }

// invoke sends the request by the drpc method and decodes its reply.
func (ex *exchange) invoke(ctx context.Context, rpc string, request, reply any) error {
	err := ex.conn.Invoke(ctx, rpc, cborEncoding{}, request, reply)
	if err != nil {
		err = eris.Wrapf(err, "call %s at %s", ex.method, ex.address)
		if ex.isReused && isTimeout(ctx, err) {
			ex.client.closeIdle(ex.address)
			err = errors.Join(ErrStale, err)
		}
	}
	ex.isReused = true
	return err
}

func (c *Client) call(ctx context.Context, address netip.AddrPort, rpc, method string, in, out any) error {
	body, err := cbor.Marshal(in)
	if err != nil {
		return eris.Wrap(err, "encode the request")
	}
	ex := c.newExchange(ctx, address, method)
	defer ex.close()
	content, request := []byte(nil), &envelope{Method: method, Body: body, TakesParts: rpc == rpcName}
	for {
		var reply envelope
		if err := ex.invoke(ctx, rpc, request, &reply); err != nil {
			return err
		}
		if reply.Failure != "" {
			return eris.Errorf("call %s at %s: %s", method, address, reply.Failure)
		}
		if content = append(content, reply.Body...); reply.Rest == "" {
			break
		}
		if len(content) > maxReplyBytes {
			return eris.Errorf("call %s at %s: the reply exceeds %d bytes", method, address, maxReplyBytes)
		}
		extender.Progress(ctx)
		request = &envelope{Rest: reply.Rest}
	}
	return eris.Wrap(cbor.Unmarshal(content, out), "decode the reply")
}
