package forwarder

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/forwarder/framer"
	"github.com/wigeonstand/wigeonstand/internal/generator"
	"github.com/wigeonstand/wigeonstand/internal/requester"
)

// The defaults of a Client.
const (
	DefaultDialTimeout     = time.Second
	DefaultFrameTimeout    = 5 * time.Second
	DefaultIdleTimeout     = 5 * time.Second
	DefaultMaxMessageBytes = 16 << 20
)

// Dial opens a connection to an instance's peer listener.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Heartbeat is what one instance tells another in a heartbeat.
type Heartbeat struct {
	Instance        string
	Generation      int64
	Epoch           int64
	DocumentVersion int64
	Ready           bool
	Load            int64
}

// Client calls other instances over pooled connections. A connection that says
// nothing for too long is closed.
type Client struct {
	dial         Dial
	tls          *tls.Config
	dialLimit    time.Duration
	silence      time.Duration
	messageBytes int
	pool         *pool
}

// ClientOption sets one property of a Client.
type ClientOption func(*Client)

// WithDial replaces how connections are opened; TLS is then the function's affair.
func WithDial(dial Dial) ClientOption { return func(c *Client) { c.dial = dial } }

// WithTLS dials with the configuration, which holds this instance's certificate
// and the authority of the others.
func WithTLS(config *tls.Config) ClientOption { return func(c *Client) { c.tls = config } }

// WithFrameTimeout bounds the time without a frame while a command is under way; it
// must be well above the server's keepalive.
func WithFrameTimeout(d time.Duration) ClientOption { return func(c *Client) { c.silence = d } }

// WithIdleTimeout bounds how long an unused connection is kept.
func WithIdleTimeout(d time.Duration) ClientOption { return func(c *Client) { c.pool.idleLimit = d } }

// WithMaxMessageBytes bounds one message.
func WithMaxMessageBytes(n int) ClientOption { return func(c *Client) { c.messageBytes = n } }

// NewClient returns a Client; Close ends it.
func NewClient(options ...ClientOption) *Client {
	c := &Client{
		dialLimit:    DefaultDialTimeout,
		silence:      DefaultFrameTimeout,
		messageBytes: DefaultMaxMessageBytes,
		pool:         newPool(DefaultIdleTimeout),
	}
	c.dial = c.dialTCP
	for _, option := range options {
		option(c)
	}
	return c
}

// Close closes the idle connections; those in use are closed when their calls end.
func (c *Client) Close() { c.pool.close() }

func (c *Client) dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := &net.Dialer{}
	if c.tls == nil {
		return dialer.DialContext(ctx, "tcp", address)
	}
	return (&tls.Dialer{NetDialer: dialer, Config: c.tls}).DialContext(ctx, "tcp", address)
}

// Heartbeat exchanges beats with the instance at the address.
func (c *Client) Heartbeat(ctx context.Context, address string, beat Heartbeat) (Heartbeat, error) {
	conn, err := c.connect(ctx, address, false)
	if err != nil {
		return Heartbeat{}, err
	}
	answer, err := framer.NewDRPCPeerClient(conn).Heartbeat(ctx, encodeBeat(beat))
	c.finish(conn, err)
	if err != nil {
		return Heartbeat{}, eris.Wrap(err, "heartbeat")
	}
	return decodeBeat(answer), nil
}

// FetchDocument returns the document that the instance at the address has in
// force, if its version is at least the one asked for.
func (c *Client) FetchDocument(ctx context.Context, address string, version int64) (int64, []byte, error) {
	conn, err := c.connect(ctx, address, false)
	if err != nil {
		return 0, nil, err
	}
	document, err := framer.NewDRPCPeerClient(conn).FetchDocument(ctx, &framer.DocumentRequest{Version: version})
	c.finish(conn, err)
	if err != nil {
		return 0, nil, eris.Wrap(err, "fetch document")
	}
	return document.GetVersion(), document.GetBody(), nil
}

// The fates of a command that has no answer.
var (
	errUndelivered = errors.New("the command was not delivered")
	errLost        = errors.New("the answer was lost")
)

// do runs the command on the instance at the address. Besides errors of
// internal/answerer it returns errUndelivered and errLost.
func (c *Client) do(ctx context.Context, address string, command requester.Command, sink requester.Sink, fresh bool) (requester.Reply, error) {
	body, err := json.Marshal(command)
	if err != nil {
		return requester.Reply{}, answerer.Wrap(answerer.Internal, err, "encode command")
	}
	if len(body) > c.messageBytes {
		return requester.Reply{}, answerer.New(answerer.TooLarge, "the request has %d bytes", len(body))
	}
	conn, err := c.connect(ctx, address, fresh)
	if err != nil {
		return requester.Reply{}, errors.Join(errUndelivered, err)
	}
	var silent atomic.Bool
	watch := time.AfterFunc(c.silence, func() {
		silent.Store(true)
		conn.discard()
	})
	defer watch.Stop()
	reply, err := c.stream(ctx, conn, body, sink, func() { watch.Reset(c.silence) })
	if silent.Load() {
		err = errors.Join(errLost, eris.Errorf("%s was silent for %v", address, c.silence))
	}
	c.finishDo(conn, err)
	return reply, err
}

// stream sends the command and receives frames until the last one.
func (c *Client) stream(ctx context.Context, conn *conn, body []byte, sink requester.Sink, heard func()) (requester.Reply, error) {
	// The context of the stream ends with the call, which also ends the command
	// on the owner if the caller is gone.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := framer.NewDRPCPeerClient(conn).Do(ctx, &framer.Command{Body: body})
	if err != nil {
		return requester.Reply{}, errors.Join(errLost, err)
	}
	for {
		frame, err := stream.Recv()
		if err != nil {
			return requester.Reply{}, errors.Join(errLost, err)
		}
		heard()
		switch part := frame.GetPart().(type) {
		case *framer.Frame_Chunk:
			if err := sink.Chunk(decodeChunk(part.Chunk)); err != nil {
				return requester.Reply{}, answerer.Wrap(answerer.Canceled, err, "the caller went away")
			}
		case *framer.Frame_Reply:
			var reply requester.Reply
			if err := json.Unmarshal(part.Reply, &reply); err != nil {
				return requester.Reply{}, errors.Join(errLost, err)
			}
			return reply, stream.Close()
		case *framer.Frame_Failure:
			failure := decodeFailure(part.Failure)
			return requester.Reply{}, errors.Join(failure, stream.Close())
		}
	}
}

func (c *Client) connect(ctx context.Context, address string, fresh bool) (*conn, error) {
	if !fresh {
		if conn := c.pool.take(address); conn != nil {
			return conn, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, c.dialLimit)
	defer cancel()
	transport, err := c.dial(ctx, address)
	if err != nil {
		return nil, eris.Wrapf(err, "dial %s", address)
	}
	return newConn(transport, address, c.messageBytes), nil
}

// finish gives a connection back after a call, unless the call failed.
func (c *Client) finish(conn *conn, err error) {
	if err != nil {
		c.abandon(conn)
		return
	}
	c.pool.put(conn)
}

func (c *Client) abandon(conn *conn) {
	conn.discard()
	c.pool.drop(conn.address)
}

// finishDo keeps the connection if the command was answered.
func (c *Client) finishDo(conn *conn, err error) {
	var failure *answerer.Error
	if err == nil || errors.As(err, &failure) && failure.Kind != answerer.Canceled {
		c.pool.put(conn)
		return
	}
	if failure != nil {
		// Only the caller went away.
		conn.discard()
		return
	}
	c.abandon(conn)
}

func encodeBeat(b Heartbeat) *framer.Beat {
	return &framer.Beat{
		Instance:        b.Instance,
		Generation:      b.Generation,
		Epoch:           b.Epoch,
		DocumentVersion: b.DocumentVersion,
		Ready:           b.Ready,
		Load:            b.Load,
	}
}

func decodeBeat(b *framer.Beat) Heartbeat {
	return Heartbeat{
		Instance:        b.GetInstance(),
		Generation:      b.GetGeneration(),
		Epoch:           b.GetEpoch(),
		DocumentVersion: b.GetDocumentVersion(),
		Ready:           b.GetReady(),
		Load:            b.GetLoad(),
	}
}

func encodeChunk(c generator.Chunk) *framer.Chunk {
	chunk := &framer.Chunk{
		Request: c.Request,
		Offset:  int64(c.Offset),
		Text:    c.Text,
		Tokens:  int64(c.Tokens),
		Done:    c.Done,
		Error:   c.Error,
	}
	if c.Usage != nil {
		chunk.Usage = &framer.Usage{
			Prompt:    int64(c.Usage.Prompt),
			Cached:    int64(c.Usage.Cached),
			Generated: int64(c.Usage.Generated),
		}
	}
	return chunk
}

func decodeChunk(c *framer.Chunk) generator.Chunk {
	chunk := generator.Chunk{
		Request: c.GetRequest(),
		Offset:  int(c.GetOffset()),
		Text:    c.GetText(),
		Tokens:  int(c.GetTokens()),
		Done:    c.GetDone(),
		Error:   c.GetError(),
	}
	if usage := c.GetUsage(); usage != nil {
		chunk.Usage = &generator.Usage{
			Prompt:    int(usage.GetPrompt()),
			Cached:    int(usage.GetCached()),
			Generated: int(usage.GetGenerated()),
		}
	}
	return chunk
}

func encodeFailure(err error) *framer.Failure {
	e := answerer.As(err)
	return &framer.Failure{
		Kind:                  string(e.Kind),
		Detail:                e.Detail,
		RetryAfterNanoseconds: int64(e.RetryAfter),
		Owner:                 e.Owner,
	}
}

func decodeFailure(f *framer.Failure) *answerer.Error {
	return &answerer.Error{
		Kind:       answerer.Lookup(answerer.Kind(f.GetKind())).Kind,
		Detail:     f.GetDetail(),
		RetryAfter: time.Duration(f.GetRetryAfterNanoseconds()),
		Owner:      f.GetOwner(),
	}
}
