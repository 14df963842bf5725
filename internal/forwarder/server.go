package forwarder

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/forwarder/framer"
	"github.com/wigeonstand/wigeonstand/internal/generator"
	"github.com/wigeonstand/wigeonstand/internal/requester"
)

// DefaultKeepaliveInterval is the longest time without a frame from a healthy server.
const DefaultKeepaliveInterval = 1500 * time.Millisecond

// HeartbeatHandler hears the beats of other instances and answers with this one's.
type HeartbeatHandler interface {
	HandleHeartbeat(beat Heartbeat) Heartbeat
}

// DocumentSource gives the document in force on this instance.
type DocumentSource interface {
	Document(ctx context.Context, version int64) (int64, []byte, error)
}

// Server serves the calls of other instances.
type Server struct {
	local        requester.Doer
	peers        HeartbeatHandler
	documents    DocumentSource
	keepalive    time.Duration
	messageBytes int
	drpc         *drpcserver.Server
}

// ServerOption sets one property of a Server.
type ServerOption func(*Server)

// WithKeepaliveInterval sets how often a command that is under way shows that the
// connection works.
func WithKeepaliveInterval(d time.Duration) ServerOption { return func(s *Server) { s.keepalive = d } }

// WithServerMaxMessageBytes bounds one message.
func WithServerMaxMessageBytes(n int) ServerOption { return func(s *Server) { s.messageBytes = n } }

// NewServer returns a Server that runs commands on the local Doer, usually a LocalDoer.
func NewServer(local requester.Doer, peers HeartbeatHandler, documents DocumentSource, options ...ServerOption) (*Server, error) {
	s := &Server{
		local:        local,
		peers:        peers,
		documents:    documents,
		keepalive:    DefaultKeepaliveInterval,
		messageBytes: DefaultMaxMessageBytes,
	}
	for _, option := range options {
		option(s)
	}
	mux := drpcmux.New()
	if err := framer.DRPCRegisterPeer(mux, handler{s}); err != nil {
		return nil, eris.Wrap(err, "register peer service")
	}
	s.drpc = drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions(s.messageBytes)})
	return s, nil
}

// Serve accepts connections until ctx ends; a listener with TLS makes it mutual.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	return s.drpc.Serve(ctx, listener)
}

// ServeConn serves one connection until it is closed or ctx ends.
func (s *Server) ServeConn(ctx context.Context, transport net.Conn) error {
	return s.drpc.ServeOne(ctx, transport)
}

// handler implements the generated server interface.
type handler struct{ *Server }

// Heartbeat implements framer.DRPCPeerServer.
func (h handler) Heartbeat(_ context.Context, in *framer.Beat) (*framer.Beat, error) {
	return encodeBeat(h.peers.HandleHeartbeat(decodeBeat(in))), nil
}

// FetchDocument implements framer.DRPCPeerServer.
func (h handler) FetchDocument(ctx context.Context, in *framer.DocumentRequest) (*framer.Document, error) {
	version, body, err := h.documents.Document(ctx, in.GetVersion())
	if err != nil {
		return nil, err
	}
	return &framer.Document{Version: version, Body: body}, nil
}

// Do implements framer.DRPCPeerServer.
func (h handler) Do(in *framer.Command, stream framer.DRPCPeer_DoStream) error {
	var command requester.Command
	out := newFrames(stream)
	if err := json.Unmarshal(in.GetBody(), &command); err != nil {
		return out.fail(answerer.Wrap(answerer.BadRequest, err, "the command is malformed"))
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	if command.Timeout > 0 {
		ctx, cancel = context.WithTimeout(ctx, command.Timeout)
		defer cancel()
	}
	if err := out.send(&framer.Frame{}); err != nil {
		return err
	}
	stop := out.keepAlive(ctx, h.keepalive)
	reply, err := h.local.Do(ctx, command, out)
	stop()
	if err != nil {
		return out.fail(err)
	}
	body, err := json.Marshal(reply)
	if err != nil {
		return out.fail(err)
	}
	if len(body) > h.messageBytes {
		return out.fail(answerer.New(answerer.Internal, "the answer has %d bytes", len(body)))
	}
	return out.send(&framer.Frame{Part: &framer.Frame_Reply{Reply: body}})
}

// frames sends the parts of one answer. It implements requester.Sink.
type frames struct {
	stream framer.DRPCPeer_DoStream
	// turn is held while a frame is sent, which may take long.
	turn chan struct{}

	mu   sync.Mutex
	last time.Time
}

func newFrames(stream framer.DRPCPeer_DoStream) *frames {
	return &frames{stream: stream, turn: make(chan struct{}, 1)}
}

func (f *frames) send(frame *framer.Frame) error {
	f.turn <- struct{}{}
	defer func() { <-f.turn }()
	f.mu.Lock()
	f.last = time.Now()
	f.mu.Unlock()
	return f.stream.Send(frame)
}

// Chunk implements requester.Sink.
func (f *frames) Chunk(chunk generator.Chunk) error {
	return f.send(&framer.Frame{Part: &framer.Frame_Chunk{Chunk: encodeChunk(chunk)}})
}

func (f *frames) fail(err error) error {
	return f.send(&framer.Frame{Part: &framer.Frame_Failure{Failure: encodeFailure(err)}})
}

func (f *frames) quietFor(d time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.last) >= d
}

// keepAlive sends an empty frame whenever nothing was sent for the interval,
// until ctx ends or the returned function was called.
func (f *frames) keepAlive(ctx context.Context, interval time.Duration) func() {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			if f.quietFor(interval) && f.send(&framer.Frame{}) != nil {
				return
			}
		}
	}()
	return func() {
		cancel()
		<-done
	}
}
