package cmd_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/wigeonstand/wigeonstand/internal/fakeplatform"
	"github.com/wigeonstand/wigeonstand/platform/standin"
)

// binary builds the program once.
var binary = sync.OnceValues(func() (string, error) {
	folder, err := os.MkdirTemp("", "wigeonstand-")
	if err != nil {
		return "", err
	}
	path := filepath.Join(folder, "wigeonstand")
	out, err := exec.Command("go", "build", "-o", path, "../../wigeonstand").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if path, err := binary(); err == nil {
		_ = os.RemoveAll(filepath.Dir(path)) // It is in the folder for temporary files.
	}
	os.Exit(code)
}

// process is an entry that runs as a process before stand-ins.
type process struct {
	t       *testing.T
	host    string
	file    string
	command *exec.Cmd
	ended   chan struct{}
	output  *output
}

// output collects the log, which the process writes to a pipe.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(b)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// The ports of an entry.
const (
	callerPort = 7101 + iota
	readyPort
	peerPort
	adminPort
)

var hostCount struct {
	sync.Mutex
	n int
}

// newProcess returns a process that has not been started. The further settings replace those with the
// same name.
func newProcess(t *testing.T, store netip.AddrPort, further map[string]string) *process {
	t.Helper()
	hostCount.Lock()
	hostCount.n++
	host := fmt.Sprintf("127.%d.%d.%d", 160+os.Getpid()%64, os.Getpid()>>6&255, hostCount.n)
	hostCount.Unlock()
	p := &process{t: t, host: host, file: filepath.Join(t.TempDir(), "node.yaml"), output: &output{}}
	settings := map[string]string{
		"Instance": "entry-1", "DataCentre": "dc-1", "StoreAddress": store.String(), "GracePeriod": "2s",
		"CallerListen": p.address(callerPort), "ReadyListen": p.address(readyPort), "PeerListen": p.address(peerPort), "AdminListen": p.address(adminPort),
	}
	for name, value := range further {
		settings[name] = value
	}
	var text strings.Builder
	for name, value := range settings {
		fmt.Fprintf(&text, "%s: %s\n", name, value)
	}
	if err := os.WriteFile(p.file, []byte(text.String()), 0o600); err != nil {
		t.Fatal(err)
	}
	return p
}

func (p *process) address(port int) string { return fmt.Sprintf("%s:%d", p.host, port) }

// start starts the process, whose standard output is out; if it is nil, it is collected.
func (p *process) start(out *os.File) {
	p.t.Helper()
	path, err := binary()
	if err != nil {
		p.t.Fatal(err)
	}
	p.command = exec.Command(path, "entry", "-f", p.file) //nolint:noctx // Ended by its ID.
	p.command.Stderr = p.output
	if out != nil {
		p.command.Stdout = out
	} else {
		p.command.Stdout = p.output
	}
	if err := p.command.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.ended = make(chan struct{})
	go func() {
		_ = p.command.Wait() // The state tells how it ended.
		close(p.ended)
	}()
	p.t.Cleanup(func() {
		p.signal(syscall.SIGKILL)
		<-p.ended
		if p.t.Failed() {
			p.t.Logf("%s, log:\n%s", p.command.ProcessState, p.output)
		}
	})
}

func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) } // It may have ended.

// lives fails the test if the process ends within the time.
func (p *process) lives(d time.Duration) {
	p.t.Helper()
	select {
	case <-p.ended:
		p.t.Fatalf("the process has ended: %s", p.command.ProcessState)
	case <-time.After(d):
	}
}

// await waits until the condition holds, and fails the test if the process ends before.
func (p *process) await(what string, condition func() bool) {
	p.t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !condition(); {
		if time.Now().After(deadline) {
			p.t.Fatalf("%s: not within 30 s", what)
		}
		p.lives(20 * time.Millisecond)
	}
}

func (p *process) isReady() bool {
	ctx, cancel := context.WithTimeout(p.t.Context(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.address(readyPort), http.NoBody)
	if err != nil {
		p.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close() // The status is all.
	return response.StatusCode == http.StatusOK
}

// newStore returns the address of a stand-in for the store with a configuration.
func newStore(t *testing.T) (*fakeplatform.Rows, netip.AddrPort) {
	t.Helper()
	rows := fakeplatform.NewRows(1)
	if err := standin.WriteConfiguration(rows, 1); err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(standin.NewStore(rows.For("entry-1")))
	t.Cleanup(server.Close)
	return rows, netip.MustParseAddrPort(server.Listener.Addr().String())
}

// Guards against the end by SIGHUP before its handler stood (issue 51).
func TestHangupRightAfterTheStartDoesNotEndTheProcess(t *testing.T) {
	_, store := newStore(t)
	for i := range 8 {
		p := newProcess(t, store, nil)
		p.start(nil)
		time.Sleep(time.Duration(i) * 3 * time.Millisecond)
		p.signal(syscall.SIGHUP)
		p.await("ready", p.isReady)
	}
}

// Guards against the end by SIGPIPE once standard output had no reader (issue 51).
func TestEndOfTheLogReaderDoesNotEndTheProcess(t *testing.T) {
	_, store := newStore(t)
	p := newProcess(t, store, nil)
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	p.start(writer)
	_ = writer.Close() // The process has its own.
	_ = reader.Close() // This is the case.
	p.await("ready", p.isReady)
	p.signal(syscall.SIGHUP) // It is logged.
	p.lives(time.Second)
}

// Guards against a planned stop that waits for a reader of the log without end (issue 51).
func TestStopEndsWithoutAReaderOfTheLog(t *testing.T) {
	const pipeBytes = 4096
	_, store := newStore(t)
	p := newProcess(t, store, nil)
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = reader.Close() }) // Nothing reads from it.
	if _, err := unix.FcntlInt(writer.Fd(), unix.F_SETPIPE_SZ, pipeBytes); err != nil {
		t.Fatal(err)
	}
	p.start(writer)
	p.await("ready", p.isReady)
	for range pipeBytes / 64 { // Each is logged.
		p.signal(syscall.SIGHUP)
		time.Sleep(5 * time.Millisecond)
	}
	p.signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(15 * time.Second):
		t.Fatal("the process still runs 15 s after SIGTERM; its grace period is 2 s")
	}
	if !p.command.ProcessState.Success() {
		t.Errorf("the process ended with %s", p.command.ProcessState)
	}
}

// Guards against the end of a start whose addresses the process before it still has (issue 51).
func TestStartWaitsForAnAddressInUse(t *testing.T) {
	_, store := newStore(t)
	for _, port := range []int{callerPort, readyPort, peerPort} {
		p := newProcess(t, store, nil)
		listener, err := net.Listen("tcp", p.address(port))
		if err != nil {
			t.Fatal(err)
		}
		p.start(nil)
		p.lives(700 * time.Millisecond)
		if err := listener.Close(); err != nil {
			t.Fatal(err)
		}
		p.await("ready", p.isReady)
	}
}

// Guards against the end of an instance that could serve all but its metrics (issue 51).
func TestMetricsAddressInUseDoesNotEndTheProcess(t *testing.T) {
	_, store := newStore(t)
	p := newProcess(t, store, nil)
	listener, err := net.Listen("tcp", p.address(adminPort))
	if err != nil {
		t.Fatal(err)
	}
	p.start(nil)
	p.await("ready", p.isReady)
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	p.await("metrics", func() bool {
		conn, err := net.DialTimeout("tcp", p.address(adminPort), time.Second)
		if err != nil {
			return false
		}
		defer func() { _ = conn.Close() }() // The answer is all.
		_, _ = io.WriteString(conn, "GET /metrics HTTP/1.0\r\n\r\n")
		answer, err := io.ReadAll(conn)
		return err == nil && bytes.Contains(answer, []byte("# TYPE"))
	})
}

// Guards against the end of a start that reads the settings file while it is replaced (issue 51).
func TestStartWaitsForTheSettingsFile(t *testing.T) {
	_, store := newStore(t)
	for _, before := range []string{"", "Instance: entry-1\nDataCen"} {
		p := newProcess(t, store, nil)
		text, err := os.ReadFile(p.file)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.Remove(p.file); err != nil {
			t.Fatal(err)
		}
		if before != "" {
			if err := os.WriteFile(p.file, []byte(before), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		p.start(nil)
		p.lives(500 * time.Millisecond)
		if err := os.WriteFile(p.file, text, 0o600); err != nil {
			t.Fatal(err)
		}
		p.await("ready", p.isReady)
	}
}

// Guards against the end of a start by what the platform states about its machine (issue 51).
func TestRefusedLimitsOfTheMachineDoNotEndTheStart(t *testing.T) {
	_, store := newStore(t)
	for name, value := range map[string]string{
		"MemoryMB": "0", "Cores": "0.5", "CoreShare": "1.5", "StoreWrites": "", "GracePeriod": "s", "New": "1",
	} {
		p := newProcess(t, store, map[string]string{name: value})
		p.start(nil)
		p.await("ready with "+name+": "+value, p.isReady)
	}
}

// A start that cannot succeed ends, and its log says why.
func TestStartThatCannotSucceedEndsWithItsCause(t *testing.T) {
	_, store := newStore(t)
	p := newProcess(t, store, map[string]string{"CallerListen": "192.0.2.1:80"})
	p.start(nil)
	select {
	case <-p.ended:
	case <-time.After(time.Minute):
		t.Fatal("the process still waits for an address that its machine does not have")
	}
	if text := p.output.String(); p.command.ProcessState.ExitCode() != 1 || !strings.Contains(text, `"EntryFailed"`) || !strings.Contains(text, "192.0.2.1:80") {
		t.Errorf("%s", p.command.ProcessState)
	}
}

// Guards against refusals of unread bodies after which net/http panics on the connection, which cut the next request and led to the end
// of a process (issue 51).
func TestRefusalsOfUnknownKeysKeepTheConnectionInOrder(t *testing.T) {
	rows, store := newStore(t)
	if err := standin.WriteAccounts(rows, 2, []standin.Account{{Name: "account-1", Keys: []string{"key-1"}}}); err != nil {
		t.Fatal(err)
	}
	p := newProcess(t, store, nil)
	p.start(nil)
	p.await("ready", p.isReady)
	var client http.Client
	for i := range 8 {
		body := io.Reader(strings.NewReader("a body"))
		if i%2 == 1 {
			body = io.MultiReader(body) // In chunks.
		}
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+p.address(callerPort)+standin.PathPost+"x", body)
		if err != nil {
			t.Fatal(err)
		}
		request.Host = standin.Host
		request.Header.Set(standin.HeaderID, fmt.Sprint("unknown-", i))
		request.Header.Set("Authorization", "Bearer unknown")
		response, err := client.Do(request)
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		_, _ = io.Copy(io.Discard, response.Body) // The status is checked.
		_ = response.Body.Close()
		if response.StatusCode != http.StatusUnauthorized {
			t.Errorf("request %d: status %d", i, response.StatusCode)
		}
	}
	time.Sleep(500 * time.Millisecond) // The log is written.
	if text := p.output.String(); strings.Contains(text, "panic serving") {
		t.Error("a connection ended by a panic")
	}
}
