// Package messenger owns the calls between instances: one request and one reply
// over drpc, encoded as CBOR. It does not own what a call means: handlers are
// registered by method name.
package messenger

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"

	"github.com/wigeonstand/wigeonstand/internal/dialer"
)

const (
	// handshake bounds the opening of a connection between instances, which are
	// a few milliseconds apart.
	handshake = 150 * time.Millisecond
	// silence ends a connection whose data has no acknowledgement.
	silence = 500 * time.Millisecond
	// idleLimit closes unused connections.
	idleLimit = 20 * time.Second
	// idleTotal and idlePerAddress bound the unused connections.
	idleTotal      = 256
	idlePerAddress = 8

	method = "/wigeonstand.messenger.Instance/Call"
)

// envelope is both a request and a reply.
type envelope struct {
	Method string `cbor:"1,keyasint,omitempty"`
	Body   []byte `cbor:"2,keyasint,omitempty"`
	// Failure is the text of an error of the transport's own, such as an
	// unknown method; the errors of a call are part of its reply.
	Failure string `cbor:"3,keyasint,omitempty"`
}

type encoding struct{}

func (encoding) Marshal(m drpc.Message) ([]byte, error)   { return cbor.Marshal(m) }
func (encoding) Unmarshal(b []byte, m drpc.Message) error { return cbor.Unmarshal(b, m) }

// Handler handles one method: it decodes the request and returns the reply.
type Handler func(ctx context.Context, body []byte) (any, error)

// Handle returns a Handler of a typed function.
func Handle[In, Out any](f func(ctx context.Context, in In) (Out, error)) Handler {
	return func(ctx context.Context, body []byte) (any, error) {
		var in In
		if err := cbor.Unmarshal(body, &in); err != nil {
			return nil, eris.Wrap(err, "decode a call")
		}
		return f(ctx, in)
	}
}

// Server serves the calls of other instances.
type Server struct {
	handlers map[string]Handler
	drpc     *drpcserver.Server
}

// NewServer returns a Server with the handlers by method name.
func NewServer(handlers map[string]Handler) (*Server, error) {
	s := &Server{handlers: handlers}
	mux := drpcmux.New()
	if err := mux.Register(s, description{}); err != nil {
		return nil, eris.Wrap(err, "register the calls between instances")
	}
	s.drpc = drpcserver.New(mux)
	return s, nil
}

// Serve accepts connections until ctx ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	return s.drpc.Serve(ctx, listener)
}

func (s *Server) call(ctx context.Context, in *envelope) (*envelope, error) {
	handler := s.handlers[in.Method]
	if handler == nil {
		return &envelope{Failure: "no method " + in.Method}, nil
	}
	reply, err := handler(ctx, in.Body)
	if err != nil {
		return &envelope{Failure: err.Error()}, nil
	}
	body, err := cbor.Marshal(reply)
	if err != nil {
		return nil, eris.Wrap(err, "encode a reply")
	}
	return &envelope{Body: body}, nil
}

// description describes the service to drpc.
type description struct{}

func (description) NumMethods() int { return 1 }

func (description) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	if n != 0 {
		return "", nil, nil, nil, false
	}
	receive := func(server any, ctx context.Context, in, _ any) (drpc.Message, error) {
		return server.(*Server).call(ctx, in.(*envelope))
	}
	return method, encoding{}, receive, (*Server).call, true
}

// Client calls other instances.
type Client struct {
	dialer *net.Dialer
	pool   *drpcpool.Pool[netip.AddrPort, drpcpool.Conn]
}

// NewClient returns a Client.
func NewClient() *Client {
	return &Client{
		dialer: dialer.New(handshake, silence),
		pool: drpcpool.New[netip.AddrPort, drpcpool.Conn](drpcpool.Options{
			Expiration: idleLimit, Capacity: idleTotal, KeyCapacity: idlePerAddress,
		}),
	}
}

// Close closes the unused connections.
func (c *Client) Close() { _ = c.pool.Close() } // Unused connections carry nothing that could be lost.

// Call calls the method at the instance. An error says nothing about whether
// the call was carried out.
func (c *Client) Call(ctx context.Context, address netip.AddrPort, name string, in, out any) error {
	body, err := cbor.Marshal(in)
	if err != nil {
		return eris.Wrap(err, "encode a call")
	}
	conn := c.pool.Get(ctx, address, func(ctx context.Context, address netip.AddrPort) (drpcpool.Conn, error) {
		raw, err := c.dialer.DialContext(ctx, "tcp", address.String())
		if err != nil {
			return nil, err
		}
		return drpcconn.New(raw), nil
	})
	// Closing gives the connection back to the pool.
	defer func() { _ = conn.Close() }()
	var reply envelope
	if err := conn.Invoke(ctx, method, encoding{}, &envelope{Method: name, Body: body}, &reply); err != nil {
		return eris.Wrapf(err, "call %s at %s", name, address)
	}
	if reply.Failure != "" {
		return eris.Errorf("call %s at %s: %s", name, address, reply.Failure)
	}
	return eris.Wrap(cbor.Unmarshal(reply.Body, out), "decode a reply")
}
