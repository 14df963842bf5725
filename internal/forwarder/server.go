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

// DefaultKeepaliveInterval is the default of WithKeepaliveInterval.
const DefaultKeepaliveInterval = 1500 * time.Millisecond

// HeartbeatHandler processes the heartbeats of other instances.
type HeartbeatHandler interface {
	// HandleHeartbeat processes a heartbeat and returns that of this instance.
	HandleHeartbeat(heartbeat Heartbeat) Heartbeat
}

// DocumentSource provides the document in force on this instance.
type DocumentSource interface {
	// Document returns the version and the body of the document in force. The
	// version passed is the lowest one that the other instance wants.
	Document(ctx context.Context, version int64) (int64, []byte, error)
}

// Server serves the calls of other instances.
type Server struct {
	local             requester.Doer
	heartbeats        HeartbeatHandler
	documents         DocumentSource
	keepaliveInterval time.Duration
	maxMessageBytes   int
	drpc              *drpcserver.Server
}

// ServerOption configures a Server.
type ServerOption func(*Server)

// WithKeepaliveInterval sets how often the server checks whether to send an empty
// frame for a running command. It sends one if no frame was sent for the interval, so
// that two frames are less than two intervals apart.
func WithKeepaliveInterval(d time.Duration) ServerOption {
	return func(s *Server) { s.keepaliveInterval = d }
}

// WithServerMaxMessageBytes limits the size of a message.
func WithServerMaxMessageBytes(n int) ServerOption { return func(s *Server) { s.maxMessageBytes = n } }

// NewServer returns a Server that runs commands on local.
func NewServer(local requester.Doer, heartbeats HeartbeatHandler, documents DocumentSource, options ...ServerOption) (*Server, error) {
	s := &Server{
		local:             local,
		heartbeats:        heartbeats,
		documents:         documents,
		keepaliveInterval: DefaultKeepaliveInterval,
		maxMessageBytes:   DefaultMaxMessageBytes,
	}
	for _, option := range options {
		option(s)
	}
	mux := drpcmux.New()
	if err := framer.DRPCRegisterPeer(mux, handler{s}); err != nil {
		return nil, eris.Wrap(err, "register peer service")
	}
	s.drpc = drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions(s.maxMessageBytes)})
	return s, nil
}

// Serve accepts connections until ctx is done. Client certificates are verified if
// the TLS configuration of the listener requires it.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	return s.drpc.Serve(ctx, listener)
}

// ServeConn serves one connection until it is closed or ctx is done.
func (s *Server) ServeConn(ctx context.Context, transport net.Conn) error {
	return s.drpc.ServeOne(ctx, transport)
}

// handler implements the generated server interface.
type handler struct{ *Server }

// Heartbeat implements framer.DRPCPeerServer.
func (h handler) Heartbeat(_ context.Context, in *framer.Beat) (*framer.Beat, error) {
	return encodeHeartbeat(h.heartbeats.HandleHeartbeat(decodeHeartbeat(in))), nil
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
	sender := newFrameSender(stream)
	if err := json.Unmarshal(in.GetBody(), &command); err != nil {
		return sender.sendFailure(answerer.Wrap(answerer.BadRequest, err, "the command is not valid JSON"))
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	if command.Timeout > 0 {
		ctx, cancel = context.WithTimeout(ctx, command.Timeout)
		defer cancel()
	}
	if err := sender.send(&framer.Frame{}); err != nil {
		return err
	}
	stop := sender.keepAlive(ctx, h.keepaliveInterval)
	reply, err := h.local.Do(ctx, command, sender)
	stop()
	if err != nil {
		return sender.sendFailure(err)
	}
	body, err := json.Marshal(reply)
	if err != nil {
		return sender.sendFailure(err)
	}
	if len(body) > h.maxMessageBytes {
		return sender.sendFailure(answerer.New(answerer.Internal, "the reply has %d bytes, more than the limit of %d", len(body), h.maxMessageBytes))
	}
	return sender.send(&framer.Frame{Part: &framer.Frame_Reply{Reply: body}})
}

// frameSender sends the frames of one command. It implements requester.Sink and is
// safe for concurrent use.
type frameSender struct {
	stream framer.DRPCPeer_DoStream
	// sendSlot serializes sends, which may block for long. It has capacity 1 and
	// contains a value while a frame is sent.
	sendSlot chan struct{}

	mu       sync.Mutex
	lastSent time.Time
}

func newFrameSender(stream framer.DRPCPeer_DoStream) *frameSender {
	return &frameSender{stream: stream, sendSlot: make(chan struct{}, 1)}
}

func (f *frameSender) send(frame *framer.Frame) error {
	f.sendSlot <- struct{}{}
	defer func() { <-f.sendSlot }()
	f.mu.Lock()
	f.lastSent = time.Now()
	f.mu.Unlock()
	return f.stream.Send(frame)
}

// Chunk implements requester.Sink.
func (f *frameSender) Chunk(chunk generator.Chunk) error {
	return f.send(&framer.Frame{Part: &framer.Frame_Chunk{Chunk: encodeChunk(chunk)}})
}

func (f *frameSender) sendFailure(err error) error {
	return f.send(&framer.Frame{Part: &framer.Frame_Failure{Failure: encodeFailure(err)}})
}

func (f *frameSender) isIdleFor(d time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.lastSent) >= d
}

// keepAlive sends an empty frame at a tick of the interval if no frame was sent since
// the previous one, until ctx is done or the returned function is called.
func (f *frameSender) keepAlive(ctx context.Context, interval time.Duration) func() {
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
			if f.isIdleFor(interval) && f.send(&framer.Frame{}) != nil {
				return
			}
		}
	}()
	return func() {
		cancel()
		<-done
	}
}
