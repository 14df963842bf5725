package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/urfave/cli/v3"
	"go.uber.org/goleak"

	"github.com/wigeonstand/wigeonstand/internal/fakeengine"
	"github.com/wigeonstand/wigeonstand/internal/fakeservice"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// load runs the command line and returns what it printed.
func load(t *testing.T, args ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	err := newRootCmd(&out, io.Discard).Run(t.Context(), append([]string{"wigeonload"}, args...))
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	return out.String(), err
}

func wantIn(t *testing.T, text string, wants ...string) {
	t.Helper()
	for _, want := range wants {
		if !strings.Contains(text, want) {
			t.Errorf("no %q in\n%s", want, text)
		}
	}
}

func TestDirectRunIsReportedAndVerified(t *testing.T) {
	settings := fakeengine.DefaultSettings()
	settings.TokenTime, settings.PeerTime = 0, 0
	engine := fakeengine.New("engine-1", fakeengine.WithModels("songbird"), fakeengine.WithSettings(settings))
	ctx, cancel := context.WithCancel(t.Context())
	stepped := make(chan struct{})
	go func() {
		defer close(stepped)
		engine.Run(ctx)
	}()
	service := fakeservice.New("fees")
	engineServer, serviceServer := httptest.NewServer(engine.Handler()), httptest.NewServer(service.Handler())
	dir := t.TempDir()
	file := filepath.Join(dir, "direct.json")
	out, err := load(t, "direct", "--engine", engineServer.URL, "--model", "songbird", "--service", "fees="+serviceServer.URL,
		"--mix", "songs=20,fees=50", "--duration", "500ms", "--pauses", "0", "--samples", "--out", file)
	if err != nil {
		t.Error(err)
	}
	wantIn(t, out, "songs", "fees", "direct: 0 violations")
	out, err = load(t, "report", "--plots", filepath.Join(dir, "plots"), file)
	if err != nil {
		t.Error(err)
	}
	wantIn(t, out, "songs", "Program.svg", "Seconds-direct.svg")
	out, err = load(t, "report", "--pair", file, file)
	if err != nil {
		t.Error(err)
	}
	wantIn(t, out, "direct less direct", "FirstToken")
	out, err = load(t, "verify", "--service", "fees="+serviceServer.URL, "--engine", engineServer.URL, file)
	if err != nil {
		t.Error(err)
	}
	wantIn(t, out, " 0 unsettled, 0 faults; 0 holdings")
	for _, e := range service.Counts().Executions {
		service.Execute(fakeservice.Request{Key: e.Key, Method: e.Method, Path: e.Path})
	}
	if out, err = load(t, "verify", "--service", "fees="+serviceServer.URL, file); err == nil {
		t.Error("doubled executions were accepted")
	}
	wantIn(t, out, "was executed 2 times")
	engineServer.Close()
	serviceServer.Close()
	cancel()
	<-stepped
}

func TestBadArgumentsAreErrors(t *testing.T) {
	broken := filepath.Join(t.TempDir(), "broken.json")
	if err := os.WriteFile(broken, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	tests := [][]string{
		{"run"},
		{"run", "--entry", "http://127.0.0.1:1", "--mix", "opera=1"},
		{"run", "--entry", "http://127.0.0.1:1", "--key", "laulukaar"},
		{"direct", "--engine", "http://127.0.0.1:1", "--model", "m", "--ca", broken},
		{"report"},
		{"report", broken},
		{"report", "--pair", broken},
		{"verify", "--service", "fees=http://127.0.0.1:1", broken},
	}
	for _, args := range tests {
		if _, err := load(t, args...); err == nil {
			t.Errorf("%q was accepted", args)
		}
	}
}

func TestEverySubcommandHasAnExample(t *testing.T) {
	root := newRootCmd(io.Discard, io.Discard)
	for _, c := range append([]*cli.Command{root}, root.Commands...) {
		if !strings.Contains(c.Description, "Examples:\n\n  wigeonload ") {
			t.Errorf("%s has no example", c.Name)
		}
	}
}
