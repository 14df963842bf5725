package tunneler

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/discoverer"
	"github.com/wigeonstand/wigeonstand/internal/messenger"
)

const (
	methodTunnel = "Tunnel"
	// chunkBytes is the size of the messages of a tunnel.
	chunkBytes = 16 << 10
	// resetDelay is how long a pending write may take to end after a reset of its connection.
	resetDelay = 5 * time.Millisecond
)

// openRequest is the first message of a tunnel.
type openRequest struct {
	Endpoint netip.AddrPort `cbor:"1,keyasint"`
}

// openResult tells whether the relay has a connection to the endpoint.
type openResult int

const (
	isOpen openResult = iota + 1
	// isRefused means that the endpoint refused the relay's connection.
	isRefused
	// isUnreachable means that the relay does not reach the endpoint either.
	isUnreachable
)

// openResponse is the relay's first message.
type openResponse struct {
	Result openResult `cbor:"1,keyasint"`
}

// openThrough opens a tunnel through the member. It returns syscall.ECONNREFUSED if the
// endpoint refuses the member's connection.
func (t *Tunneler) openThrough(ctx context.Context, m discoverer.Member, endpoint netip.AddrPort) (net.Conn, error) {
	// The stream outlives ctx, which limits its opening.
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stopCancel := context.AfterFunc(ctx, cancel)
	stream, err := t.opener.Open(streamCtx, m.Address, methodTunnel, openRequest{Endpoint: endpoint})
	if err != nil {
		cancel()
		if errors.Is(err, syscall.ECONNREFUSED) {
			// The endpoint has not refused anything.
			err = eris.Wrapf(errRelayEnded, "tunnel through %s: %s", m.Instance, err)
		}
		return nil, ctxErr(ctx, err)
	}
	var response openResponse
	message, err := stream.Receive()
	if err == nil {
		err = cbor.Unmarshal(message, &response)
	}
	switch {
	case err != nil:
		err = ctxErr(ctx, eris.Wrapf(err, "tunnel through %s", m.Instance))
	case response.Result == isRefused:
		err = eris.Wrapf(syscall.ECONNREFUSED, "tunnel through %s", m.Instance)
	case response.Result != isOpen:
		err = eris.Errorf("%s does not reach the endpoint either", m.Instance)
	case !stopCancel():
		err = context.Cause(ctx)
	}
	if err != nil {
		stream.Close()
		cancel()
		return nil, err
	}
	return &conn{stream: stream, cancel: cancel, remote: net.TCPAddrFromAddrPort(endpoint)}, nil
}

// ctxErr returns the error of ctx if it has ended, which is then the cause of err.
func ctxErr(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// Streams returns the handlers of streams from other instances, by method.
func (t *Tunneler) Streams() map[string]messenger.StreamHandler {
	return map[string]messenger.StreamHandler{methodTunnel: t.serve}
}

// StopServing lets other instances open further tunnels elsewhere.
func (t *Tunneler) StopServing() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isStopping = true
}

// Wait calls StopServing and waits until the tunnels that this instance serves have ended, or ctx
// ends.
func (t *Tunneler) Wait(ctx context.Context) {
	t.StopServing()
	ended := make(chan struct{})
	go func() {
		t.tunnels.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-ctx.Done():
	}
}

// beginTunnel counts a tunnel unless this instance stops. The result tells which.
func (t *Tunneler) beginTunnel() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isStopping {
		t.tunnels.Add(1)
	}
	return !t.isStopping
}

// serve connects a stream of another instance with an endpoint. It connects directly only, so
// that tunnels have no loops, and to registered endpoints only.
func (t *Tunneler) serve(ctx context.Context, stream *messenger.Stream, first []byte) error {
	isServing := t.beginTunnel()
	if isServing {
		defer t.tunnels.Done()
	}
	var in openRequest
	if err := cbor.Unmarshal(first, &in); err != nil {
		return eris.Wrap(err, "decode the request")
	}
	response := openResponse{Result: isUnreachable}
	var endpoint net.Conn
	_, isKnown := t.registry.FindAddress(in.Endpoint)
	if isKnown && !t.isBlocked(in.Endpoint) && isServing {
		dialed, err := t.direct(ctx, "tcp", in.Endpoint.String())
		switch {
		case err == nil:
			endpoint, response.Result = dialed, isOpen
			defer func() { _ = endpoint.Close() }() // What is in transit belongs to an ended request.
		case errors.Is(err, syscall.ECONNREFUSED):
			response.Result = isRefused
		}
	}
	message, err := cbor.Marshal(response)
	if err != nil {
		return eris.Wrap(err, "encode the response")
	}
	if err := stream.Send(message); err != nil || endpoint == nil {
		return err
	}
	var writing sync.Mutex
	hasWriteFailed := false
	go func() {
		// Either side may end the tunnel; closing the connection ends the loop below.
		defer func() { _ = endpoint.Close() }()
		for {
			message, err := stream.Receive()
			if err != nil {
				return
			}
			writing.Lock()
			_, err = endpoint.Write(message)
			hasWriteFailed = err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
			writing.Unlock()
			if err != nil {
				return
			}
		}
	}()
	// The kernel reports a reset of the connection to a pending write alone, which ends then.
	isReset := func() bool {
		_ = endpoint.SetWriteDeadline(time.Now().Add(resetDelay)) // Without it, the write may block for longer.
		writing.Lock()
		defer writing.Unlock()
		return hasWriteFailed
	}
	buffer := make([]byte, chunkBytes)
	for {
		n, err := endpoint.Read(buffer)
		if n > 0 {
			if err := stream.Send(buffer[:n]); err != nil {
				return nil // The other instance has closed the tunnel.
			}
		}
		if errors.Is(err, io.EOF) && !isReset() {
			_ = stream.Send(nil) // If it is lost, the end counts as a failure.
		}
		if err != nil {
			return nil
		}
	}
}

// conn is the connection at the other end of a tunnel. An empty message is the end of the
// endpoint's stream; a tunnel that ends without one counts as reset, as a response whose end
// is that of its connection must not look complete.
type conn struct {
	stream *messenger.Stream
	cancel context.CancelFunc
	remote net.Addr
	unread bytes.Reader
	isEOF  bool
	close  sync.Once
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	for c.unread.Len() == 0 {
		if c.isEOF {
			return 0, io.EOF
		}
		message, err := c.stream.Receive()
		if err != nil {
			return 0, eris.Wrapf(syscall.ECONNRESET, "tunnel: %s", err)
		}
		c.isEOF = len(message) == 0
		c.unread.Reset(message)
	}
	return c.unread.Read(b)
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	written := 0
	for len(b) > 0 {
		n := min(len(b), chunkBytes)
		if err := c.stream.Send(b[:n]); err != nil {
			return written, eris.Wrapf(syscall.EPIPE, "tunnel: %s", err)
		}
		written += n
		b = b[n:]
	}
	return written, nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.close.Do(func() {
		c.stream.Close()
		c.cancel()
	})
	return nil
}

// IsReusable implements sender.Reusable. The idle end of the relay's connection is not seen
// here.
func (c *conn) IsReusable() bool { return false }

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return &net.TCPAddr{} }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn. Tunnels end by Close only.
func (c *conn) SetDeadline(time.Time) error { return os.ErrNoDeadline }

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(time.Time) error { return os.ErrNoDeadline }

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(time.Time) error { return os.ErrNoDeadline }
