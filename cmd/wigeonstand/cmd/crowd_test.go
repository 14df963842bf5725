package cmd_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/fakeplatform"
	"github.com/wigeonstand/wigeonstand/platform/standin"
)

// The crowds run one test at a time, apart from other load; see hack/unit.sh.

const (
	// crowdMemoryMB and crowdDescriptors are those of the smallest instances of the target.
	crowdMemoryMB    = 112
	crowdDescriptors = 4_100
	// crowdTime is how long a crowd stays after it has sent what it sends.
	crowdTime = 3 * time.Second
	// maxBodyBytes is the limit that the stand-in's configuration states.
	maxBodyBytes = 1 << 20
	// largeResponseBytes is the size of the response to a request for pathLarge.
	largeResponseBytes = 1 << 20
	// mediumResponseBytes is that of a response for pathMedium.
	mediumResponseBytes = 200 << 10
	// hugeResponseBytes exceeds what the kernel takes of a response that is not read.
	hugeResponseBytes = 7 << 20
	pathHuge          = standin.PathLookup + "huge"
	pathLarge         = standin.PathLookup + "large"
	pathMedium        = standin.PathLookup + "medium"
	pathSlow          = standin.PathLookup + "slow"
	// The endpoint leaves its responses for these paths incomplete.
	pathShortHead   = standin.PathLookup + "short-head"
	pathInterim     = standin.PathLookup + "interim"
	pathLargeHead   = standin.PathLookup + "large-head"
	pathSmallChunks = standin.PathLookup + "small-chunks"
)

// crowd is a set of clients that keep their connections open.
type crowd struct {
	t    *testing.T
	p    *process
	ctx  context.Context //nolint:containedctx // It ends all clients.
	work sync.WaitGroup
	// sending is the number of clients that still send.
	sending atomic.Int64
}

// join opens count connections to the port; each of them sends what play writes, and then stays open.
func (c *crowd) join(port, count int, play func(w io.Writer) error) {
	for range count {
		c.sending.Add(1)
		c.work.Go(func() {
			var dialer net.Dialer
			conn, err := dialer.DialContext(c.ctx, "tcp", c.p.address(port))
			if err != nil {
				c.sending.Add(-1)
				return // The process may refuse or close connections of a crowd.
			}
			stop := context.AfterFunc(c.ctx, func() { _ = conn.Close() })
			defer stop()
			_ = play(conn) // As above.
			c.sending.Add(-1)
			<-c.ctx.Done()
		})
	}
}

// head returns the lines of a request without the empty line that ends them.
func head(method, path string, lines ...string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %d\r\n%s: 3000\r\n", method, path, standin.Host, standin.HeaderID, attemptCount.Add(1), standin.HeaderDeadline) + strings.Join(append(lines, ""), "\r\n")
}

var attemptCount atomic.Int64

// endless writes the text until the connection is closed.
func endless(w io.Writer, text string) error {
	for {
		if _, err := io.WriteString(w, text); err != nil {
			return err
		}
	}
}

func writeAll(w io.Writer, texts ...string) error {
	for _, text := range texts {
		if _, err := io.WriteString(w, text); err != nil {
			return err
		}
	}
	return nil
}

// chunked returns a body of the size in chunks, without its end.
func chunked(size, chunk int) string {
	return strings.Repeat(standin.Chunk(strings.Repeat("x", chunk)), size/chunk)
}

// crowds are the ways in which clients misbehave. The argument scales the number of clients.
var crowds = []struct {
	name string
	join func(c *crowd, percent int)
}{
	{"heads of empty fields that stop short", func(c *crowd, percent int) {
		text := head("GET", standin.PathLookup+"x") + strings.Repeat("a:\r\n", 15_000)
		c.join(callerPort, 4*percent, func(w io.Writer) error { return writeAll(w, text) })
	}},
	{"heads of long fields that stop short", func(c *crowd, percent int) {
		text := head("GET", standin.PathLookup+"x") + strings.Repeat("Field: "+strings.Repeat("v", 1000)+"\r\n", 59)
		c.join(callerPort, 4*percent, func(w io.Writer) error { return writeAll(w, text) })
	}},
	{"heads without end", func(c *crowd, percent int) {
		c.join(callerPort, 2*percent, func(w io.Writer) error {
			return writeAll(w, head("GET", standin.PathLookup+"x"), strings.Repeat("Field: v\r\n", 1<<17))
		})
		c.join(callerPort, percent, func(w io.Writer) error { return endless(w, strings.Repeat("a", 1<<14)) })
	}},
	{"empty lines without end", func(c *crowd, percent int) {
		c.join(callerPort, percent/2, func(w io.Writer) error { return endless(w, strings.Repeat("\r\n", 1<<13)) })
	}},
	{"bodies of the largest size that stop short", func(c *crowd, percent int) {
		text := head("POST", standin.PathPost+"x", "Content-Length: "+strconv.Itoa(maxBodyBytes)) + "\r\n" + strings.Repeat("x", maxBodyBytes-1)
		c.join(callerPort, 2*percent, func(w io.Writer) error { return writeAll(w, text) })
	}},
	{"small bodies that stop short", func(c *crowd, percent int) {
		text := head("POST", standin.PathPost+"x", "Content-Length: 65536") + "\r\n" + strings.Repeat("x", 65_535)
		c.join(callerPort, 6*percent, func(w io.Writer) error { return writeAll(w, text) })
	}},
	{"large chunks that stop short", func(c *crowd, percent int) {
		text := head("POST", standin.PathPost+"x", "Transfer-Encoding: chunked") + "\r\n" + chunked(maxBodyBytes, maxBodyBytes-16)
		c.join(callerPort, 2*percent, func(w io.Writer) error { return writeAll(w, text) })
	}},
	{"chunks of one byte that stop short", func(c *crowd, percent int) {
		text := head("POST", standin.PathPost+"x", "Transfer-Encoding: chunked") + "\r\n" + chunked(200_000, 1)
		c.join(callerPort, 2*percent, func(w io.Writer) error { return writeAll(w, text) })
	}},
	{"small chunked bodies that stop short", func(c *crowd, percent int) {
		text := head("POST", standin.PathPost+"x", "Transfer-Encoding: chunked") + "\r\n" + chunked(60_000, 1000)
		c.join(callerPort, 6*percent, func(w io.Writer) error { return writeAll(w, text) })
	}},
	{"bytes behind a request that is at work", func(c *crowd, percent int) {
		c.join(callerPort, 3*percent, func(w io.Writer) error {
			return writeAll(w, head("GET", pathSlow), "\r\n", strings.Repeat("x", 4<<20))
		})
	}},
	{"connections without a byte", func(c *crowd, percent int) {
		c.join(callerPort, 40*percent, func(io.Writer) error { return nil })
	}},
	{"idle connections", func(c *crowd, percent int) {
		c.join(callerPort, 20*percent, func(w io.Writer) error {
			if err := writeAll(w, head("GET", "/unknown/"), "\r\n"); err != nil {
				return err
			}
			_, err := http.ReadResponse(bufio.NewReader(w.(net.Conn)), nil)
			return err
		})
	}},
	{"responses that are not read", func(c *crowd, percent int) {
		c.join(callerPort, 3*percent, func(w io.Writer) error {
			_ = w.(*net.TCPConn).SetReadBuffer(4096) // Less of the response is in transit.
			return writeAll(w, head("GET", pathLarge), "\r\n")
		})
	}},
	{"small responses that are not read", func(c *crowd, percent int) {
		c.join(callerPort, 3*percent, func(w io.Writer) error {
			_ = w.(*net.TCPConn).SetReadBuffer(4096) // As above.
			return writeAll(w, head("GET", pathMedium), "\r\n")
		})
	}},
	{"heads at the listeners for readiness and metrics", func(c *crowd, percent int) {
		for _, port := range []int{readyPort, adminPort} {
			text := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 200_000)
			c.join(port, percent, func(w io.Writer) error { return writeAll(w, text) })
		}
	}},
	{"bytes at the listener for peers", func(c *crowd, percent int) {
		// A frame of a drpc message: control byte, stream, message, length of the data, data without end.
		frame := "\x0c\x01\x01\x80\x80\x80\x80\x01" + strings.Repeat("x", 3<<20)
		c.join(peerPort, percent, func(w io.Writer) error { return writeAll(w, frame) })
		c.join(peerPort, percent, func(w io.Writer) error { return endless(w, strings.Repeat("\r\n", 1<<13)) })
		c.join(peerPort, 10*percent, func(io.Writer) error { return nil })
	}},
	{"heads of responses that stop short", func(c *crowd, percent int) { c.request(pathShortHead, 4*percent) }},
	{"interim responses without end", func(c *crowd, percent int) { c.request(pathInterim, 4*percent) }},
	{"large heads of responses whose bodies stop short", func(c *crowd, percent int) { c.request(pathLargeHead, 4*percent) }},
	{"chunks of responses without end", func(c *crowd, percent int) { c.request(pathSmallChunks, 3*percent) }},
}

// request opens count connections and requests the path on each of them.
func (c *crowd) request(path string, count int) {
	c.join(callerPort, count, func(w io.Writer) error { return writeAll(w, head("GET", path), "\r\n") })
}

// responder serves a large response, a late one, and others as a stand-in does.
type responder struct{ endpoint http.Handler }

func (r responder) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get(standin.HeaderID)
	if strings.HasPrefix(request.URL.Path, pathPlain) {
		standin.Endless{}.ServeHTTP(w, request)
		return
	}
	switch request.URL.Path {
	case pathHuge, pathLarge, pathMedium:
		if request.URL.Path == pathHuge {
			hugeRequests.Store(id, true)
		}
		size := map[string]int{pathHuge: hugeResponseBytes, pathLarge: largeResponseBytes, pathMedium: mediumResponseBytes}[request.URL.Path]
		standin.Sign(w.Header(), id)
		_, _ = w.Write(make([]byte, size)) // The caller may be gone.
	case pathShortHead, pathInterim, pathLargeHead, pathSmallChunks:
		r.stopShort(w, request.URL.Path, id)
	case pathSlow:
		time.Sleep(2 * time.Second)
		fallthrough
	default:
		r.endpoint.ServeHTTP(w, request)
	}
}

// stopShort begins a response and waits until the connection is closed.
func (r responder) stopShort(w http.ResponseWriter, path, id string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return // The process has closed the connection.
	}
	defer func() { _ = conn.Close() }() // It has no end of its own.
	fields := http.Header{}
	standin.Sign(fields, id)
	var signed strings.Builder
	if fields.Write(&signed) != nil {
		return // A strings.Builder does not fail.
	}
	begin := "HTTP/1.1 200 OK\r\n" + signed.String()
	empty := strings.Repeat("a:\r\n", 15_000)
	switch path {
	case pathShortHead:
		err = writeAll(conn, begin, empty)
	case pathInterim:
		err = endless(conn, "HTTP/1.1 100 Continue\r\n"+strings.Repeat("a:\r\n", 1_000)+"\r\n")
	case pathLargeHead:
		err = writeAll(conn, begin, empty[:56_000], "Content-Length: 1000000\r\n\r\n", strings.Repeat("x", 999_999))
	case pathSmallChunks:
		if err = writeAll(conn, begin, "Transfer-Encoding: chunked\r\n\r\n"); err == nil {
			err = endless(conn, strings.Repeat(standin.Chunk("x"), 1000))
		}
	}
	if err == nil {
		_, _ = io.Copy(io.Discard, conn) // Until the process closes it.
	}
}

// hugeRequests has the IDs of the requests for pathHuge that the endpoint has got.
var hugeRequests sync.Map

// newCrowdProcess starts a process with the limits of the smallest instances and warms it up.
func newCrowdProcess(t *testing.T) *process {
	t.Helper()
	rows, store := newStore(t)
	return startCrowdProcess(t, rows, store)
}

// startCrowdProcess is newCrowdProcess with a store.
func startCrowdProcess(t *testing.T, rows *fakeplatform.Rows, store netip.AddrPort) *process {
	t.Helper()
	endpoint := standin.NewEndpoint("app-1", 0, 5*time.Millisecond, 1)
	endpoint.Slots = 1000
	server := httptest.NewServer(responder{endpoint})
	t.Cleanup(server.Close)
	registration := standin.Registration{
		ID: "app-1", Service: standin.ServicePlain, Address: netip.MustParseAddrPort(server.Listener.Addr().String()), DataCentre: "dc-1", Slots: 1000,
	}
	if err := standin.Register(rows, registration); err != nil {
		t.Fatal(err)
	}
	engine := httptest.NewServer(standin.Endless{})
	t.Cleanup(engine.Close)
	registration.ID, registration.Service = "engine-1", standin.ServiceEngine
	registration.Address = netip.MustParseAddrPort(engine.Listener.Addr().String())
	if err := standin.Register(rows, registration); err != nil {
		t.Fatal(err)
	}
	p := newProcess(t, store, map[string]string{"MemoryMB": strconv.Itoa(crowdMemoryMB)})
	p.start(nil)
	p.await("ready", p.isReady)
	p.awaitOrdinary()
	return p
}

// awaitOrdinary waits until an ordinary request with a body is answered.
func (p *process) awaitOrdinary() {
	p.t.Helper()
	for _, isChunked := range []bool{false, true} {
		p.await(fmt.Sprintf("an answer to an ordinary request, chunked %t", isChunked), func() bool {
			var client http.Client
			client.Transport = &http.Transport{DisableKeepAlives: true}
			ctx, cancel := context.WithTimeout(p.t.Context(), 5*time.Second)
			defer cancel()
			body := io.Reader(strings.NewReader("ordinary"))
			if isChunked {
				body = io.MultiReader(body)
			}
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.address(callerPort)+standin.PathPost+"ordinary", body)
			if err != nil {
				p.t.Fatal(err)
			}
			request.Host = standin.Host
			request.Header.Set(standin.HeaderID, fmt.Sprint("ordinary-", attemptCount.Add(1)))
			request.Header.Set(standin.HeaderDeadline, "4000")
			response, err := client.Do(request)
			if err != nil {
				return false
			}
			defer func() { _ = response.Body.Close() }() // The status is all.
			return response.StatusCode == http.StatusOK
		})
	}
}

// usage is what a process uses: its resident memory with what the kernel has received for it and
// it has not read, and its descriptors.
type usage struct{ residentMB, unreadMB, descriptors int }

func (p *process) usage() usage {
	p.t.Helper()
	id := p.command.Process.Pid
	var u usage
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", id))
	if err != nil {
		return u // The process has ended.
	}
	for line := range strings.Lines(string(status)) {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			kb, err := strconv.Atoi(strings.Fields(rest)[0])
			if err != nil {
				p.t.Fatal(err)
			}
			u.residentMB = kb >> 10
		}
	}
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", id))
	if err == nil {
		u.descriptors = len(descriptors)
	}
	u.unreadMB = p.unreadBytes() >> 20
	return u
}

// socket is an established connection of the process.
type socket struct{ port, unread int }

// sockets returns the connections whose descriptors the process has, to its endpoints, too.
func (p *process) sockets() []socket {
	p.t.Helper()
	folder := fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid)
	descriptors, err := os.ReadDir(folder)
	if err != nil {
		return nil // The process has ended.
	}
	own := map[string]bool{}
	for _, d := range descriptors {
		// A descriptor may have been closed meanwhile.
		if target, err := os.Readlink(filepath.Join(folder, d.Name())); err == nil {
			own[target] = true
		}
	}
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		p.t.Fatal(err)
	}
	var sockets []socket
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		const established = "01"
		if len(fields) < 10 || fields[3] != established || !own["socket:["+fields[9]+"]"] {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		unread, err := strconv.ParseInt(queue, 16, 64)
		if err != nil {
			p.t.Fatal(err)
		}
		_, localPort, _ := strings.Cut(fields[1], ":")
		port, err := strconv.ParseInt(localPort, 16, 32)
		if err != nil {
			p.t.Fatal(err)
		}
		sockets = append(sockets, socket{port: int(port), unread: int(unread)})
	}
	return sockets
}

// unreadBytes returns the bytes in the receive queues of the sockets.
func (p *process) unreadBytes() int {
	unread := 0
	for _, s := range p.sockets() {
		unread += s.unread
	}
	return unread
}

func (p *process) callerConnections() int {
	count := 0
	for _, s := range p.sockets() {
		if s.port == callerPort {
			count++
		}
	}
	return count
}

// endure plays the crowds and checks that the process lives, stays within its limits and answers an
// ordinary request while the crowd is there and after it.
func endure(t *testing.T, join func(c *crowd)) { endureAt(t, newCrowdProcess(t), join) }

// endureAt is endure at a process.
func endureAt(t *testing.T, p *process, join func(c *crowd)) {
	t.Helper()
	before := p.usage()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	c := &crowd{t: t, p: p, ctx: ctx}
	join(c)
	var most usage
	mostMemory := 0
	observe := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); {
			p.lives(20 * time.Millisecond)
			u := p.usage()
			mostMemory = max(mostMemory, u.residentMB+u.unreadMB)
			most = usage{max(most.residentMB, u.residentMB), max(most.unreadMB, u.unreadMB), max(most.descriptors, u.descriptors)}
		}
	}
	observe(crowdTime)
	p.awaitOrdinary()
	observe(crowdTime)
	cancel()
	c.work.Wait()
	p.awaitOrdinary()
	if mostMemory > crowdMemoryMB {
		t.Errorf("the process used %d MB, its machine has %d MB", mostMemory, crowdMemoryMB)
	}
	if most.descriptors > crowdDescriptors {
		t.Errorf("the process had %d descriptors, its machine has %d", most.descriptors, crowdDescriptors)
	}
	t.Logf("%d MB at the most (resident %d, unread %d), %d descriptors; before %d MB", mostMemory, most.residentMB, most.unreadMB, most.descriptors, before.residentMB)
}

// Guards against a process that ends by its memory, hangs, or does not answer because of a crowd of clients
// that misbehave (issue 50).
func TestCrowd(t *testing.T) {
	for _, kind := range crowds {
		t.Run(strings.ReplaceAll(kind.name, " ", "-"), func(t *testing.T) {
			endure(t, func(c *crowd) { kind.join(c, 100) })
		})
	}
}

// As above, all kinds at once.
func TestCrowdOfAllKinds(t *testing.T) {
	endure(t, func(c *crowd) {
		for _, kind := range crowds {
			kind.join(c, 30)
		}
	})
}

// Guards against a response that is kept for as long as its caller does not read it (issue 50).
func TestCallerThatDoesNotReadIsDisconnected(t *testing.T) {
	p := newCrowdProcess(t)
	before := p.usage()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	c := &crowd{t: t, p: p, ctx: ctx}
	const count = 3
	c.join(callerPort, count, func(w io.Writer) error {
		_ = w.(*net.TCPConn).SetReadBuffer(4096) // Less of the response is in transit.
		return writeAll(w, head("GET", pathHuge, "Connection: close"), "\r\n")
	})
	p.await("the requests of the callers", func() bool {
		got := 0
		hugeRequests.Range(func(any, any) bool { got++; return true })
		return got >= count
	})
	p.await("their end", func() bool { return p.callerConnections() == 0 })
	t.Logf("descriptors: %d, %d before", p.usage().descriptors, before.descriptors)
	cancel()
	c.work.Wait()
	p.awaitOrdinary()
}
