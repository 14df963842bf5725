package messenger

import (
	"context"
	"net/netip"
	"runtime/debug"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"
)

// Stream is a sequence of messages in both directions between two instances. One goroutine
// at a time may call Send, and one Receive.
type Stream struct {
	stream drpc.Stream
	// release ends the stream's connection; nil at the server.
	release context.CancelFunc
}

// StreamHandler serves one stream of a method, which ends when the handler returns. The first
// message is the client's.
type StreamHandler func(ctx context.Context, stream *Stream, first []byte) error

// WithStreams sets the handlers of streams, by method name.
func WithStreams(handlers map[string]StreamHandler) Option {
	return func(s *Server) { s.streams = handlers }
}

func (s *Server) stream(raw drpc.Stream) (err error) {
	var in envelope
	if err := raw.MsgRecv(&in, cborEncoding{}); err != nil {
		return err
	}
	reportRead(raw.Context())
	handler := s.streams[in.Method]
	if handler == nil {
		return eris.Errorf("unknown method %s", in.Method)
	}
	defer func() {
		if cause := recover(); cause != nil {
			s.log.Log(eventHandlerPanicked, "Method", in.Method, "Cause", cause, "Stack", string(debug.Stack()))
			err = eris.Errorf("the handler of %s panicked", in.Method)
		}
	}()
	return handler(raw.Context(), &Stream{stream: raw}, in.Body)
}

// Open opens a stream of the method to the instance at the address and sends the first
// message. The stream ends with ctx; Close must be called.
func (c *Client) Open(ctx context.Context, address netip.AddrPort, method string, first any) (*Stream, error) {
	body, err := cbor.Marshal(first)
	if err != nil {
		return nil, eris.Wrap(err, "encode the first message")
	}
	ctx, cancel := context.WithCancel(ctx)
	conn := c.pool.Get(ctx, address, func(ctx context.Context, address netip.AddrPort) (drpcpool.Conn, error) {
		netConn, err := c.dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return drpcconn.New(netConn), nil
	})
	raw, err := conn.NewStream(ctx, streamName, cborEncoding{})
	if err != nil {
		cancel()
		return nil, eris.Wrapf(err, "open %s at %s", method, address)
	}
	s := &Stream{stream: raw, release: cancel}
	if err := raw.MsgSend(&envelope{Method: method, Body: body}, cborEncoding{}); err != nil {
		s.Close()
		return nil, eris.Wrapf(err, "open %s at %s", method, address)
	}
	return s, nil
}

// Send sends a message.
func (s *Stream) Send(message []byte) error {
	return s.stream.MsgSend(&envelope{Body: message}, cborEncoding{})
}

// Receive returns the next message, or an error if the stream has ended.
func (s *Stream) Receive() ([]byte, error) {
	var in envelope
	err := s.stream.MsgRecv(&in, cborEncoding{})
	reportRead(s.stream.Context())
	return in.Body, err
}

// Close ends the stream at both instances. Receive returns an error afterwards.
func (s *Stream) Close() {
	_ = s.stream.Close() // A stream that has failed needs no end.
	if s.release != nil {
		s.release()
	}
}
