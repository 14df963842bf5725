// Package sender owns the connections to endpoints: it sends a request and
// reads the answer that belongs to it. It tells a request that cannot have
// reached the endpoint from one that may have. It never sends a request twice.
package sender

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/dialer"
)

const (
	// handshake bounds the opening of a connection; endpoints take one in a
	// few milliseconds.
	handshake = 600 * time.Millisecond
	// silence ends a connection whose data has no acknowledgement.
	silence = 1500 * time.Millisecond
	// defaultIdle is how long a connection is kept for reuse when the endpoint
	// does not say how long it keeps it.
	defaultIdle = 2 * time.Second
	// idleShare is the part of the endpoint's own limit that is used, so that
	// its close does not cross a request.
	idleShare = 0.6
	// idlePerAddress bounds the unused connections to one endpoint.
	idlePerAddress = 8
	// strays is how many answers to earlier requests are skipped.
	strays = 2
	// strayBytes bounds an answer that is skipped.
	strayBytes = 64 << 10
	// inlineBody is the body size up to which the body is written before the
	// answer is read; it is below a link's window.
	inlineBody = 16 << 10
)

// ErrNotSent means that no byte of the request can have reached the endpoint.
var ErrNotSent = errors.New("not sent")

// Request is one request to an endpoint.
type Request struct {
	Address netip.AddrPort
	Method  string
	// Target is the request target as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// IsMatch says whether the header is that of an answer to this request.
	IsMatch func(http.Header) bool
}

// Response is the answer of an endpoint. Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Body ends with io.EOF only where the endpoint ended the answer.
	Body *bufio.Reader
	// Length is that of the body, or -1 if the endpoint did not tell it.
	Length int64

	conn *conn
	keep time.Duration
	pool *Sender
	body io.Closer
	stop func() bool
	// written is closed when the request has been sent whole.
	written chan struct{}
}

type conn struct {
	net.Conn
	reader  *bufio.Reader
	address netip.AddrPort
	expires time.Time
}

// Sender keeps connections to endpoints.
type Sender struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu     sync.Mutex
	idle   map[netip.AddrPort][]*conn
	opened int64
}

// New returns a Sender.
func New() *Sender {
	return &Sender{dial: dialer.New(handshake, silence).DialContext, idle: map[netip.AddrPort][]*conn{}}
}

// ConnectionsOpened returns how many connections were opened so far.
func (c *Sender) ConnectionsOpened() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opened
}

// Close closes the unused connections.
func (c *Sender) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conns := range c.idle {
		for _, unused := range conns {
			discard(unused)
		}
		delete(c.idle, address)
	}
}

// CloseIdle closes the unused connections to an endpoint that is gone.
func (c *Sender) CloseIdle(address netip.AddrPort) {
	c.mu.Lock()
	conns := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	for _, unused := range conns {
		discard(unused)
	}
}

// discard closes a connection that is of no more use; nothing depends on how
// that ends.
func discard(c net.Conn) { _ = c.Close() }

// Send sends the request and returns the head of its answer. The end of ctx
// closes the connection, also while the body is read. An error that is
// ErrNotSent says that the request cannot have run.
func (c *Sender) Send(ctx context.Context, r Request) (*Response, error) {
	cn, err := c.connect(ctx, r.Address)
	if err != nil {
		return nil, &notSent{err}
	}
	stop := context.AfterFunc(ctx, func() { discard(cn) })
	answer, err := c.exchange(cn, r)
	if err != nil {
		stop()
		discard(cn)
		if ctx.Err() != nil {
			err = eris.Wrap(context.Cause(ctx), err.Error())
		}
		return nil, err
	}
	answer.stop = stop
	return answer, nil
}

func (c *Sender) connect(ctx context.Context, address netip.AddrPort) (*conn, error) {
	for {
		cn := c.take(address)
		if cn == nil {
			break
		}
		if isQuiet(cn.Conn) {
			return cn, nil
		}
		discard(cn)
	}
	c.mu.Lock()
	c.opened++
	c.mu.Unlock()
	raw, err := c.dial(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, reader: bufio.NewReader(raw), address: address}, nil
}

func (c *Sender) take(address netip.AddrPort) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[address]
	if len(conns) == 0 {
		return nil
	}
	last := conns[len(conns)-1]
	c.idle[address] = conns[:len(conns)-1]
	if time.Now().After(last.expires) {
		// Those below are older still.
		for _, unused := range conns {
			discard(unused)
		}
		delete(c.idle, address)
		return nil
	}
	return last
}

func (c *Sender) put(cn *conn, keep time.Duration) {
	cn.expires = time.Now().Add(keep)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[cn.address]) >= idlePerAddress {
		discard(cn)
		return
	}
	c.idle[cn.address] = append(c.idle[cn.address], cn)
}

// exchange writes the request and reads answers until one belongs to it.
func (c *Sender) exchange(cn *conn, r Request) (*Response, error) {
	written := make(chan struct{})
	head := appendHead(nil, r)
	if len(r.Body) <= inlineBody {
		close(written)
		if _, err := cn.Write(append(head, r.Body...)); err != nil {
			return nil, eris.Wrap(err, "send the request")
		}
	} else {
		// An endpoint may answer before it has read a long body.
		go func() {
			buffers := net.Buffers{head, r.Body}
			if _, err := buffers.WriteTo(cn.Conn); err == nil {
				close(written)
			}
		}()
	}
	for range strays + 1 {
		response, err := http.ReadResponse(cn.reader, &http.Request{Method: r.Method}) //nolint:bodyclose // Answer.Close ends it with its connection.
		if err != nil {
			return nil, eris.Wrap(err, "read the answer's head")
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if r.IsMatch == nil || r.IsMatch(response.Header) {
			return c.accept(cn, response, written), nil
		}
		// A second answer to an earlier request came late.
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, strayBytes)); err != nil || response.Close {
			return nil, eris.New("the connection carries the answer to another request")
		}
	}
	return nil, eris.New("the connection carries answers to other requests")
}

func (c *Sender) accept(cn *conn, response *http.Response, written chan struct{}) *Response {
	a := &Response{
		Status: response.StatusCode, Header: response.Header,
		Body: bufio.NewReader(response.Body), Length: response.ContentLength,
		conn: cn, pool: c, body: response.Body, written: written,
	}
	if !response.Close {
		a.keep = idleLimit(response.Header)
	}
	return a
}

// Close ends the use of the answer. The connection is kept if the body was read
// to its end.
func (a *Response) Close() {
	if a.stop != nil && !a.stop() {
		return
	}
	if a.keep <= 0 || !a.isRead() || a.conn.reader.Buffered() > 0 {
		discard(a.conn)
		return
	}
	a.pool.put(a.conn, a.keep)
}

// isRead says whether both directions of the exchange are complete.
func (a *Response) isRead() bool {
	select {
	case <-a.written:
	default:
		return false
	}
	_, err := a.Body.Peek(1)
	return errors.Is(err, io.EOF)
}

// idleLimit returns for how long a connection may be reused.
func idleLimit(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(float64(seconds) * idleShare * float64(time.Second))
		}
	}
	return time.Duration(float64(defaultIdle) * idleShare)
}

func appendHead(b []byte, r Request) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for name, values := range r.Header {
		for _, value := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, value...)
			b = append(b, "\r\n"...)
		}
	}
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

type notSent struct{ cause error }

// Error implements error.
func (e *notSent) Error() string { return "not sent: " + e.cause.Error() }

// Unwrap gives both for errors.Is.
func (e *notSent) Unwrap() []error { return []error{ErrNotSent, e.cause} }
