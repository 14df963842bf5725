package main

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/urfave/cli/v3"
)

// start runs the command line and returns the address that it serves at. The
// function returned ends it and gives what it returned.
func start(t *testing.T, args ...string) (string, func() error) {
	t.Helper()
	reader, writer := io.Pipe()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		args = append([]string{"wigeonfakes"}, args...)
		done <- newRootCmd(writer).Run(ctx, append(args, "--listen", "127.0.0.1:0", "--log-json"))
		_ = writer.Close()
	}()
	lines := bufio.NewScanner(reader)
	if !lines.Scan() {
		t.Fatal(<-done)
	}
	var event struct{ Address string }
	if err := json.Unmarshal(lines.Bytes(), &event); err != nil {
		t.Fatal(err)
	}
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		_, _ = io.Copy(io.Discard, reader)
	}()
	return event.Address, func() error {
		cancel()
		err := <-done
		<-drained
		return err
	}
}

// get returns the status and the body of a request.
func get(t *testing.T, client *http.Client, url string) (int, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(body)
}

func TestEachStandInServesUntilItsContextEnds(t *testing.T) {
	tests := []struct {
		args []string
		path string
		want string
		code int
	}{
		{[]string{"platform", "--lose-answers", "0.25", "--list-lag", "1s"}, "/faults", `"LoseAnswers":0.25,"ListLag":1000000000`, http.StatusOK},
		{[]string{"engine", "--name", "engine-7", "--model", "a", "--model", "b"}, "/v1/load", `"Endpoint":"engine-7"`, http.StatusOK},
		{[]string{"service", "--honour-key"}, "/status?Key=k", `{"State":"Absent"}`, http.StatusNotFound},
	}
	for _, test := range tests {
		t.Run(test.args[0], func(t *testing.T) {
			address, end := start(t, test.args...)
			transport := &http.Transport{}
			status, body := get(t, &http.Client{Transport: transport}, "http://"+address+test.path)
			if diff := cmp.Diff(test.code, status); diff != "" {
				t.Error(diff)
			}
			if !strings.Contains(body, test.want) {
				t.Errorf("got %s, want %s in it", body, test.want)
			}
			transport.CloseIdleConnections()
			if err := end(); err != nil {
				t.Error(err)
			}
		})
	}
}

func TestTLSIsServedWithACertificate(t *testing.T) {
	cert, key, pool := writeCertificate(t)
	address, end := start(t, "service", "--cert", cert, "--key", key)
	transport := &http.Transport{
		TLSClientConfig:   &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12},
		ForceAttemptHTTP2: true,
	}
	status, _ := get(t, &http.Client{Transport: transport}, "https://"+address+"/healthz")
	if diff := cmp.Diff(http.StatusOK, status); diff != "" {
		t.Error(diff)
	}
	transport.CloseIdleConnections()
	if err := end(); err != nil {
		t.Error(err)
	}
}

// writeCertificate writes httptest's certificate and key to files.
func writeCertificate(t *testing.T) (cert, key string, pool *x509.CertPool) {
	t.Helper()
	server := httptest.NewTLSServer(http.NotFoundHandler())
	defer server.Close()
	pair := server.TLS.Certificates[0]
	private, err := x509.MarshalPKCS8PrivateKey(pair.PrivateKey)
	if err != nil {
		t.Fatal(err)
	}
	pool = x509.NewCertPool()
	pool.AddCert(server.Certificate())
	dir := t.TempDir()
	cert = writePEM(t, filepath.Join(dir, "cert.pem"), "CERTIFICATE", pair.Certificate[0])
	key = writePEM(t, filepath.Join(dir, "key.pem"), "PRIVATE KEY", private)
	return cert, key, pool
}

func writePEM(t *testing.T, path, kind string, der []byte) string {
	t.Helper()
	body := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(path, body, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestBadAddressIsAnError(t *testing.T) {
	err := newRootCmd(io.Discard).Run(t.Context(), []string{"wigeonfakes", "service", "--listen", "localhost:1"})
	if err == nil || !strings.Contains(err.Error(), "--listen") {
		t.Errorf("got %v", err)
	}
}

func TestEverySubcommandHasAnExample(t *testing.T) {
	root := newRootCmd(io.Discard)
	for _, c := range append([]*cli.Command{root}, root.Commands...) {
		if !strings.Contains(c.Description, "Examples:\n\n  wigeonfakes ") {
			t.Errorf("%s has no example", c.Name)
		}
	}
}
