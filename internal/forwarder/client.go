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

// Dial opens a connection to the peer listener of an instance.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Heartbeat is the state of an instance that it sends to other instances.
type Heartbeat struct {
	Instance   string
	Generation int64
	// Epoch is that of the newest shard map that the instance has read.
	Epoch           int64
	DocumentVersion int64
	Ready           bool
	Load            int64
}

// Client calls other instances over pooled connections. A connection on which no
// frame of a running command arrives within the frame timeout is closed. A Client is
// safe for concurrent use.
type Client struct {
	dial            Dial
	tls             *tls.Config
	dialTimeout     time.Duration
	frameTimeout    time.Duration
	maxMessageBytes int
	pool            *pool
}

// ClientOption configures a Client.
type ClientOption func(*Client)

// WithDial sets the function that opens connections. WithTLS then has no effect.
func WithDial(dial Dial) ClientOption { return func(c *Client) { c.dial = dial } }

// WithTLS sets the TLS configuration of the connections: the certificate of this
// instance and the CA of the other instances.
func WithTLS(config *tls.Config) ClientOption { return func(c *Client) { c.tls = config } }

// WithFrameTimeout limits the time between two frames while a command is running. The
// frames of a healthy server are up to two keepalive intervals apart; the timeout must
// be well above that.
func WithFrameTimeout(d time.Duration) ClientOption { return func(c *Client) { c.frameTimeout = d } }

// WithIdleTimeout limits how long an unused connection is kept.
func WithIdleTimeout(d time.Duration) ClientOption { return func(c *Client) { c.pool.idleTimeout = d } }

// WithMaxMessageBytes limits the size of a message.
func WithMaxMessageBytes(n int) ClientOption { return func(c *Client) { c.maxMessageBytes = n } }

// NewClient returns a Client. It must be closed after use.
func NewClient(options ...ClientOption) *Client {
	c := &Client{
		dialTimeout:     DefaultDialTimeout,
		frameTimeout:    DefaultFrameTimeout,
		maxMessageBytes: DefaultMaxMessageBytes,
		pool:            newPool(DefaultIdleTimeout),
	}
	c.dial = c.dialTCP
	for _, option := range options {
		option(c)
	}
	return c
}

// Close closes the idle connections, and those in use when their calls end.
func (c *Client) Close() { c.pool.close() }

func (c *Client) dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := &net.Dialer{}
	if c.tls == nil {
		return dialer.DialContext(ctx, "tcp", address)
	}
	return (&tls.Dialer{NetDialer: dialer, Config: c.tls}).DialContext(ctx, "tcp", address)
}

// Heartbeat sends a heartbeat to the instance at the address and returns the
// heartbeat of that instance.
func (c *Client) Heartbeat(ctx context.Context, address string, heartbeat Heartbeat) (Heartbeat, error) {
	conn, err := c.connect(ctx, address, false)
	if err != nil {
		return Heartbeat{}, err
	}
	response, err := framer.NewDRPCPeerClient(conn).Heartbeat(ctx, encodeHeartbeat(heartbeat))
	c.release(conn, err)
	if err != nil {
		return Heartbeat{}, eris.Wrap(err, "heartbeat")
	}
	return decodeHeartbeat(response), nil
}

// FetchDocument returns the version and the body of the document in force on the
// instance at the address. The version passed is the lowest one wanted; the
// DocumentSource of the instance decides what to return if it has an older one.
func (c *Client) FetchDocument(ctx context.Context, address string, version int64) (int64, []byte, error) {
	conn, err := c.connect(ctx, address, false)
	if err != nil {
		return 0, nil, err
	}
	document, err := framer.NewDRPCPeerClient(conn).FetchDocument(ctx, &framer.DocumentRequest{Version: version})
	c.release(conn, err)
	if err != nil {
		return 0, nil, eris.Wrap(err, "fetch document")
	}
	return document.GetVersion(), document.GetBody(), nil
}

// errUndelivered means that the instance did not get the command, errReplyLost that
// it may have executed it.
var (
	errUndelivered = errors.New("the command was not delivered")
	errReplyLost   = errors.New("the reply was lost")
)

// do runs the command on the instance at the address. Its errors are of type
// *answerer.Error, or match errUndelivered or errReplyLost.
func (c *Client) do(ctx context.Context, address string, command requester.Command, sink requester.Sink, newConnection bool) (requester.Reply, error) {
	body, err := json.Marshal(command)
	if err != nil {
		return requester.Reply{}, answerer.Wrap(answerer.Internal, err, "encode command")
	}
	if len(body) > c.maxMessageBytes {
		return requester.Reply{}, answerer.New(answerer.TooLarge, "the request has %d bytes, more than the limit of %d", len(body), c.maxMessageBytes)
	}
	conn, err := c.connect(ctx, address, newConnection)
	if err != nil {
		return requester.Reply{}, errors.Join(errUndelivered, err)
	}
	var timedOut atomic.Bool
	watchdog := time.AfterFunc(c.frameTimeout, func() {
		timedOut.Store(true)
		conn.discard()
	})
	defer watchdog.Stop()
	reply, err := c.exchange(ctx, conn, body, sink, func() { watchdog.Reset(c.frameTimeout) })
	if timedOut.Load() {
		err = errors.Join(errReplyLost, eris.Errorf("no frame from %s for %v", address, c.frameTimeout))
	}
	c.releaseAfterDo(conn, err)
	return reply, err
}

// exchange sends the command and receives frames until the reply or a failure. It
// calls onFrame for each frame.
func (c *Client) exchange(ctx context.Context, conn *conn, body []byte, sink requester.Sink, onFrame func()) (requester.Reply, error) {
	// Canceling the stream also cancels the command on the owner if the caller has
	// disconnected.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := framer.NewDRPCPeerClient(conn).Do(ctx, &framer.Command{Body: body})
	if err != nil {
		return requester.Reply{}, errors.Join(errReplyLost, err)
	}
	for {
		frame, err := stream.Recv()
		if err != nil {
			return requester.Reply{}, errors.Join(errReplyLost, err)
		}
		onFrame()
		switch part := frame.GetPart().(type) {
		case *framer.Frame_Chunk:
			if err := sink.Chunk(decodeChunk(part.Chunk)); err != nil {
				return requester.Reply{}, answerer.Wrap(answerer.Canceled, err, "the caller stopped reading the reply")
			}
		case *framer.Frame_Reply:
			var reply requester.Reply
			if err := json.Unmarshal(part.Reply, &reply); err != nil {
				return requester.Reply{}, errors.Join(errReplyLost, err)
			}
			return reply, stream.Close()
		case *framer.Frame_Failure:
			failure := decodeFailure(part.Failure)
			return requester.Reply{}, errors.Join(failure, stream.Close())
		}
	}
}

// connect returns a pooled connection to the address, or a new one if there is none
// or newConnection is set.
func (c *Client) connect(ctx context.Context, address string, newConnection bool) (*conn, error) {
	if !newConnection {
		if conn := c.pool.get(address); conn != nil {
			return conn, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, c.dialTimeout)
	defer cancel()
	transport, err := c.dial(ctx, address)
	if err != nil {
		return nil, eris.Wrapf(err, "dial %s", address)
	}
	return newConn(transport, address, c.maxMessageBytes), nil
}

// release returns a connection to the pool after a call, or closes it if the call
// failed.
func (c *Client) release(conn *conn, err error) {
	if err != nil {
		c.closeWithIdle(conn)
		return
	}
	c.pool.put(conn)
}

// closeWithIdle closes the connection and the idle connections to the same address.
func (c *Client) closeWithIdle(conn *conn) {
	conn.discard()
	c.pool.closeIdle(conn.address)
}

// releaseAfterDo returns the connection to the pool if the instance sent a reply or a
// failure, and closes it otherwise.
func (c *Client) releaseAfterDo(conn *conn, err error) {
	var failure *answerer.Error
	if err == nil || errors.As(err, &failure) && failure.Kind != answerer.Canceled {
		c.pool.put(conn)
		return
	}
	if failure != nil {
		// The caller stopped reading; the instance is healthy.
		conn.discard()
		return
	}
	c.closeWithIdle(conn)
}

func encodeHeartbeat(h Heartbeat) *framer.Beat {
	return &framer.Beat{
		Instance:        h.Instance,
		Generation:      h.Generation,
		Epoch:           h.Epoch,
		DocumentVersion: h.DocumentVersion,
		Ready:           h.Ready,
		Load:            h.Load,
	}
}

func decodeHeartbeat(h *framer.Beat) Heartbeat {
	return Heartbeat{
		Instance:        h.GetInstance(),
		Generation:      h.GetGeneration(),
		Epoch:           h.GetEpoch(),
		DocumentVersion: h.GetDocumentVersion(),
		Ready:           h.GetReady(),
		Load:            h.GetLoad(),
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
