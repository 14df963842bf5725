package main

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	"go.uber.org/goleak"
)

// asProcess makes the test binary run the command in place of the tests.
const asProcess = "WIGEONFAKES_AS_PROCESS"

func TestMain(m *testing.M) {
	if os.Getenv(asProcess) != "" {
		main()
		return
	}
	goleak.VerifyTestMain(m)
}

// startProcess starts the command line as a process of its own and returns it
// with the address that it serves at.
func startProcess(t *testing.T, args ...string) (*exec.Cmd, string) {
	t.Helper()
	args = append(args, "--listen", "127.0.0.1:0", "--log-json")
	process := exec.CommandContext(t.Context(), os.Args[0], args...)
	process.Env = append(os.Environ(), asProcess+"=1")
	log, err := process.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	line, err := bufio.NewReader(log).ReadBytes('\n')
	if err != nil {
		t.Fatal(err)
	}
	var event struct{ Address string }
	if err := json.Unmarshal(line, &event); err != nil {
		t.Fatal(err)
	}
	return process, event.Address
}

func TestSIGTERMLetsAGenerationFinish(t *testing.T) {
	process, address := startProcess(t, "engine", "--model", "songbird", "--token-time", "5ms")
	const body = `{"Request":"r","Program":"p","Model":"songbird","MaxTokens":100,"Messages":[{"Role":"User","Text":"hi"}]}`
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/v1/generate", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	// The stream is under way.
	stream := bufio.NewReader(response.Body)
	if _, err := stream.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	if err := process.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	rest, err := io.ReadAll(stream)
	if err != nil {
		t.Error(err)
	}
	if !strings.Contains(string(rest), `"Done":true,"Usage":{"Prompt":1,"Cached":0,"Generated":100}`) {
		t.Errorf("the generation was cut: %s", rest)
	}
	if err := process.Wait(); err != nil {
		t.Error(err)
	}
}
