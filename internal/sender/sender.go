// Package sender is an HTTP/1.1 client with a connection pool for endpoints. It
// sends each request once, skips late responses to earlier requests on the same
// connection, and distinguishes by ErrNotSent a request that cannot have reached
// the endpoint.
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
	// dialTimeout limits the opening of a connection; endpoints accept one within
	// a few milliseconds.
	dialTimeout = 600 * time.Millisecond
	// ackTimeout closes a connection whose sent data or keep-alive probes are not
	// acknowledged. Sound endpoints may be silent for a second or so.
	ackTimeout = 2500 * time.Millisecond
	// defaultIdleTimeout is the idle timeout of an endpoint whose responses have
	// no Keep-Alive header.
	defaultIdleTimeout = 2 * time.Second
	// idleTimeoutShare is the fraction of the endpoint's idle timeout during which
	// a connection is reused, so that the endpoint does not close it while a
	// request is being sent. Endpoints may also drop idle connections sooner and
	// without notice, so that a request that must not be repeated gets one that was
	// idle for cautiousShare of the timeout at most.
	idleTimeoutShare = 0.8
	cautiousShare    = 0.5
	// maxIdlePerEndpoint limits the idle connections to one endpoint. Request.MaxIdle may
	// set a lower limit.
	maxIdlePerEndpoint = 8
	// maxStaleResponses is the number of responses to earlier requests that are
	// skipped on a connection.
	maxStaleResponses = 2
	// maxStaleResponseBytes limits the body of a skipped response.
	maxStaleResponseBytes = 64 << 10
	// maxInterimResponses is the number of 1xx responses that are skipped before a
	// response.
	maxInterimResponses = 8
	// maxStatus is the highest status code of HTTP.
	maxStatus = 599
	// maxHeadBytes limits a response head together with the interim ones before it.
	maxHeadBytes = 64 << 10
	// endTimeout limits the wait for the end of a response whose caller needs no more of it.
	endTimeout = 10 * time.Millisecond
	// receiveBuffer limits what the kernel holds of a response that is not read. It doubles it.
	receiveBuffer = 32 << 10
	// maxInlineBodyBytes is the size up to which a body is written before the
	// response is read. It is below the TCP window, so the write does not block.
	maxInlineBodyBytes = 16 << 10
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
	// IsRepeatable is true if the request may be sent again when its connection fails.
	IsRepeatable bool
	// ID identifies the request. ResponseID returns the ID of the request that a response names
	// in its header, or "" if it names none. If it is nil, every response is the request's.
	ID         string
	ResponseID func(http.Header) string
	// MaxIdle is the number of idle connections to the endpoint that may be kept; zero for
	// the default.
	MaxIdle int
}

// Response is the response of an endpoint. The caller must call Close.
type Response struct {
	Status int
	Header http.Header
	// Body returns io.EOF only at the end of a complete response.
	Body *bufio.Reader
	// Length is the length of the body in bytes; -1 if the header does not give it.
	Length int64
	// IsFramed is false if the body has neither a length nor chunks and ends with the connection.
	IsFramed bool
	// ConnectedAt is when the connection to the endpoint was opened.
	ConnectedAt time.Time

	conn        *conn
	idleTimeout time.Duration
	maxIdle     int
	sender      *Sender
	body        io.Closer
	stopCancel  func() bool
	upload      *upload
}

type conn struct {
	net.Conn
	reader  *bufio.Reader
	head    *headReader
	address netip.AddrPort
	// openedAt is when it was opened.
	openedAt time.Time
	// expires is the end of its use, cautiousUntil that for requests that must not be
	// repeated.
	expires, cautiousUntil time.Time
	// isReused is set once the connection has been in the pool, which holds only those whose
	// responses named their requests.
	isReused bool
}

// Sender sends requests and pools connections. It is safe for concurrent use.
type Sender struct {
	dial Dial
	// heads is nil without a limit.
	heads *headBudget

	mu     sync.Mutex
	idle   map[netip.AddrPort][]*conn
	opened int64
}

// Dial opens a connection to an endpoint, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Option sets one property of a Sender.
type Option func(*Sender)

// WithDial sets the function that opens connections.
func WithDial(dial Dial) Option { return func(s *Sender) { s.dial = dial } }

// New returns a Sender.
func New(options ...Option) *Sender {
	s := &Sender{dial: NewDial(), idle: map[netip.AddrPort][]*conn{}}
	for _, option := range options {
		option(s)
	}
	return s
}

// NewDial returns a Dial with the timeouts for endpoints.
func NewDial() Dial {
	return dialer.New(dialTimeout, ackTimeout, dialer.WithReceiveBuffer(receiveBuffer)).DialContext
}

// ConnectionsOpened returns the number of connections opened, including failed
// attempts.
func (s *Sender) ConnectionsOpened() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opened
}

// Close closes the idle connections.
func (s *Sender) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, conns := range s.idle {
		for _, unused := range conns {
			discard(unused)
		}
		delete(s.idle, address)
	}
}

// CloseIdle closes the idle connections to one endpoint.
func (s *Sender) CloseIdle(address netip.AddrPort) {
	s.mu.Lock()
	conns := s.idle[address]
	delete(s.idle, address)
	s.mu.Unlock()
	for _, unused := range conns {
		discard(unused)
	}
}

// discard closes a connection and ignores the error.
func discard(c net.Conn) { _ = c.Close() }

// Send sends the request and returns its response once the head has been read.
// When ctx ends, the connection is closed, also while the body is being read. If
// the error is ErrNotSent, the request cannot have run.
func (s *Sender) Send(ctx context.Context, r Request) (*Response, error) {
	if ctx.Err() != nil {
		return nil, &notSentError{context.Cause(ctx)}
	}
	cn, err := s.connect(ctx, r)
	if err != nil {
		return nil, &notSentError{err}
	}
	stop := context.AfterFunc(ctx, func() { discard(cn) })
	response, err := s.exchange(ctx, cn, r)
	if err != nil {
		stop()
		cn.head.release()
		discard(cn)
		if ctx.Err() != nil {
			err = eris.Wrap(context.Cause(ctx), err.Error())
		}
		return nil, err
	}
	response.stopCancel = stop
	return response, nil
}

func (s *Sender) connect(ctx context.Context, r Request) (*conn, error) {
	for {
		cn := s.takeIdle(r.Address, r.IsRepeatable)
		if cn == nil {
			break
		}
		if isReusable(cn.Conn) {
			return cn, nil
		}
		discard(cn)
	}
	s.mu.Lock()
	s.opened++
	s.mu.Unlock()
	raw, err := s.dial(ctx, "tcp", r.Address.String())
	if err != nil {
		return nil, err
	}
	head := &headReader{conn: raw, budget: s.heads}
	return &conn{Conn: raw, reader: bufio.NewReader(head), head: head, address: r.Address, openedAt: time.Now()}, nil
}

// takeIdle removes and returns the connection to the endpoint that was used last, or
// nil if there is none for the request.
func (s *Sender) takeIdle(address netip.AddrPort, isRepeatable bool) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, conns := time.Now(), s.idle[address]
	if len(conns) == 0 {
		return nil
	}
	last := conns[len(conns)-1]
	if now.After(last.expires) {
		// The connections below expire earlier.
		for _, unused := range conns {
			discard(unused)
		}
		delete(s.idle, address)
		return nil
	}
	if !isRepeatable && now.After(last.cautiousUntil) {
		return nil
	}
	s.idle[address] = conns[:len(conns)-1]
	return last
}

// Reusable is implemented by connections that may not be reusable for further requests.
type Reusable interface{ IsReusable() bool }

func (s *Sender) putIdle(cn *conn, idleTimeout time.Duration, maxIdle int) {
	if r, ok := cn.Conn.(Reusable); ok && !r.IsReusable() {
		discard(cn)
		return
	}
	now := time.Now()
	cn.isReused = true
	cn.expires = now.Add(share(idleTimeout, idleTimeoutShare))
	cn.cautiousUntil = now.Add(share(idleTimeout, cautiousShare))
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.idle[cn.address]) >= maxIdle {
		discard(cn)
		return
	}
	s.idle[cn.address] = append(s.idle[cn.address], cn)
}

func share(d time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(d) * fraction)
}

// exchange writes the request and reads responses until one belongs to it.
func (s *Sender) exchange(ctx context.Context, cn *conn, r Request) (*Response, error) {
	sent := &upload{ended: make(chan struct{})}
	head := appendHead(nil, r)
	if len(r.Body) <= maxInlineBodyBytes {
		close(sent.ended)
		if _, err := cn.Write(append(head, r.Body...)); err != nil {
			return nil, eris.Wrap(err, "send the request")
		}
	} else {
		// The endpoint may respond before it has read a long body.
		go func() {
			defer close(sent.ended)
			buffers := net.Buffers{head, r.Body}
			_, sent.err = buffers.WriteTo(cn.Conn)
		}()
	}
	for range maxStaleResponses + 1 {
		response, err := cn.readHead(r.Method) //nolint:bodyclose // Response.Close closes the connection or returns it to the pool.
		if err != nil {
			return nil, err
		}
		isOwn, err := cn.isResponseTo(r, response.Header)
		if err != nil {
			return nil, err
		}
		if isOwn {
			return s.newResponse(ctx, cn, r, response, sent), nil
		}
		// This is a late, duplicate response to an earlier request.
		if err := skipBody(response); err != nil {
			return nil, eris.Wrap(err, "connection unusable after a response to another request")
		}
	}
	return nil, eris.New("too many responses to other requests on the connection")
}

// errUnattributed means that a response on a reused connection names no request. It may be a
// repeated one to an earlier request.
var errUnattributed = eris.New("the response names no request, unlike those before it on its connection")

// isResponseTo reports whether the response with the header is that to the request.
func (cn *conn) isResponseTo(r Request, header http.Header) (bool, error) {
	if r.ResponseID == nil {
		return true, nil
	}
	id := r.ResponseID(header)
	if id == "" && cn.isReused {
		return false, errUnattributed
	}
	return id == "" || id == r.ID, nil
}

// readHead reads the next response head and skips interim responses.
func (cn *conn) readHead(method string) (*http.Response, error) {
	cn.head.begin()
	defer cn.head.end()
	for range maxInterimResponses + 1 {
		response, err := http.ReadResponse(cn.reader, &http.Request{Method: method})
		if err != nil {
			return nil, eris.Wrap(err, "read the response head")
		}
		switch status := response.StatusCode; {
		case status < http.StatusContinue, status == http.StatusSwitchingProtocols, status > maxStatus:
			// What follows need not be a response to the request, whatever it looks like.
			return nil, eris.Errorf("invalid status %03d of a response", status)
		case status >= http.StatusOK:
			return response, nil
		case hasBody(response):
			return nil, eris.Errorf("interim response with status %d and a body", status)
		}
	}
	return nil, eris.New("too many interim responses")
}

// hasBody reports whether the header of an interim response announces a body, which would be
// taken for the next response.
func hasBody(response *http.Response) bool {
	length := response.Header.Get("Content-Length")
	return length != "" && length != "0" || len(response.TransferEncoding) > 0 || response.Header.Get("Transfer-Encoding") != ""
}

// skipBody reads the body to its end, so that the next response can be read.
func skipBody(response *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStaleResponseBytes+1))
	switch {
	case err != nil:
		return err
	case n > maxStaleResponseBytes:
		return eris.Errorf("the body exceeds %d bytes", maxStaleResponseBytes)
	case response.Close:
		return eris.New("the endpoint closes the connection")
	}
	return nil
}

func (s *Sender) newResponse(ctx context.Context, cn *conn, request Request, response *http.Response, sent *upload) *Response {
	r := &Response{
		Status: response.StatusCode, Header: response.Header,
		Length: response.ContentLength, IsFramed: response.ContentLength >= 0 || len(response.TransferEncoding) > 0,
		ConnectedAt: cn.openedAt, conn: cn, sender: s, body: response.Body, upload: sent, maxIdle: maxIdlePerEndpoint,
	}
	var body io.Reader = response.Body
	if !r.IsFramed {
		body = &unframedBody{Reader: body, hasFailed: func() bool { return s.hasFailed(ctx, request.Address, sent) }}
	}
	r.Body = bufio.NewReader(body)
	if request.MaxIdle > 0 {
		r.maxIdle = min(r.maxIdle, request.MaxIdle)
	}
	isNamed := request.ResponseID == nil || request.ResponseID(response.Header) != ""
	if !response.Close && isNamed {
		r.idleTimeout = idleTimeout(response.Header)
	}
	return r
}

// Close returns the connection to the pool if the request and the response are
// complete, and closes it otherwise.
func (r *Response) Close() {
	r.conn.head.release()
	if r.stopCancel != nil && !r.stopCancel() {
		return
	}
	if r.idleTimeout <= 0 || !r.isComplete() || r.conn.reader.Buffered() > 0 {
		discard(r.conn)
		return
	}
	r.sender.putIdle(r.conn, r.idleTimeout, r.maxIdle)
}

// isComplete reports whether the request was sent and the response read to its
// end.
func (r *Response) isComplete() bool {
	if !r.upload.isComplete() {
		return false
	}
	// The endpoint may keep the rest back.
	if err := r.conn.SetReadDeadline(time.Now().Add(endTimeout)); err != nil {
		return false
	}
	_, err := r.Body.Peek(1)
	return errors.Is(err, io.EOF) && r.conn.SetReadDeadline(time.Time{}) == nil
}

// idleTimeout returns the endpoint's idle timeout.
func idleTimeout(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(seconds) * time.Second
		}
	}
	return defaultIdleTimeout
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

type notSentError struct{ cause error }

// Error implements error.
func (e *notSentError) Error() string { return "not sent: " + e.cause.Error() }

// Unwrap implements the method that errors.Is and errors.As use.
func (e *notSentError) Unwrap() []error { return []error{ErrNotSent, e.cause} }
