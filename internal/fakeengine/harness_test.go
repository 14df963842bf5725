package fakeengine_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"github.com/wigeonstand/wigeonstand/internal/fakeengine"
	"github.com/wigeonstand/wigeonstand/internal/faker"
	"github.com/wigeonstand/wigeonstand/internal/generator"
	"github.com/wigeonstand/wigeonstand/internal/logger"
)

// fixedSeed makes the fuzzing the same in every run that names no other seed.
const fixedSeed = "20261203"

func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		_ = flag.Set("rapid.seed", fixedSeed)
	}
	goleak.VerifyTestMain(m)
}

const (
	model     = "songbird"
	tokenTime = 10 * time.Millisecond
)

// settings has round times, so that tests can add them up.
func settings() fakeengine.Settings {
	return fakeengine.Settings{
		Slots:        2,
		TokenTime:    tokenTime,
		PeerTime:     2 * time.Millisecond,
		PrefillTime:  time.Millisecond,
		PrefillChunk: 8,
		BlockTokens:  4,
		CacheTokens:  64,
		LoadLag:      time.Second,
		EventDelay:   time.Second,
		OrderTime:    time.Second,
		TransferTime: time.Millisecond,
	}
}

// face is an engine served in memory.
type face struct {
	*testing.T
	engine *fakeengine.Engine
	client *http.Client
}

// withEngine runs the test in a bubble with an engine that is served over HTTP.
func withEngine(t *testing.T, test func(f face), options ...fakeengine.Option) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		options = append([]fakeengine.Option{fakeengine.WithSettings(settings()), fakeengine.WithModels(model)}, options...)
		engine := fakeengine.New("engine-1", options...)
		listener := faker.NewPipeListener()
		transport := listener.Transport()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go engine.Run(ctx)
		go func() {
			done <- faker.Server{Grace: time.Second}.ServeOn(ctx, logger.Discard(), listener, engine.Handler())
		}()
		test(face{t, engine, &http.Client{Transport: transport}})
		transport.CloseIdleConnections()
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// request returns a generation of n tokens for a prompt of its own.
func request(id string, n int) generator.GenerateRequest {
	return generator.GenerateRequest{
		Request:   id,
		Program:   "program-" + id,
		Business:  "laulukaar",
		Model:     model,
		MaxTokens: n,
		Messages:  []generator.Message{{Role: "User", Text: "prompt " + id}},
		Seed:      42,
	}
}

func (f face) post(ctx context.Context, path string, value any) (*http.Response, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://engine"+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	return f.client.Do(r)
}

// status posts a value and returns the status and the body; 0 is a cut connection.
func (f face) status(path string, value any) (int, string) {
	f.Helper()
	response, err := f.post(f.Context(), path, value)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		f.Fatal(err)
	}
	return response.StatusCode, string(body)
}

// stream is what came of one generation.
type stream struct {
	Status int
	Text   string
	Chunks []generator.Chunk
	Done   bool
	Took   time.Duration
}

// last returns the chunk that ended a whole stream.
func (s stream) last() generator.Chunk { return s.Chunks[len(s.Chunks)-1] }

// generate reads a generation to its end, however it ends.
func (f face) generate(ctx context.Context, r generator.GenerateRequest) stream {
	f.Helper()
	start := time.Now()
	response, err := f.post(ctx, "/v1/generate", r)
	if err != nil {
		return stream{Took: time.Since(start)}
	}
	defer func() { _ = response.Body.Close() }()
	s := stream{Status: response.StatusCode}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		var chunk generator.Chunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			f.Error(err)
		}
		s.Chunks = append(s.Chunks, chunk)
		s.Text += chunk.Text
		s.Done = s.Done || chunk.Done
	}
	s.Took = time.Since(start)
	return s
}

// all runs the generations together and returns their streams in order.
func (f face) all(requests ...generator.GenerateRequest) []stream {
	f.Helper()
	streams := make([]stream, len(requests))
	done := make(chan struct{})
	for i, r := range requests {
		go func() {
			streams[i] = f.generate(f.Context(), r)
			done <- struct{}{}
		}()
		synctest.Wait()
	}
	for range requests {
		<-done
	}
	return streams
}

func (f face) same(want, got any) {
	f.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		f.Error(diff)
	}
}
