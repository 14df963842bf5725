package driver

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/generator"
	"github.com/wigeonstand/wigeonstand/internal/requester"
)

// Direct is a Target that calls engines and services without a scheduler
// between, so that the same run can be measured with and without one. It keeps
// histories itself and each program on one engine. It is safe for concurrent use.
type Direct struct {
	http         *http.Client
	model        string
	instructions string
	engines      []string
	// services holds base URLs by name.
	services map[string]string
	sent     atomic.Int64

	mu       sync.Mutex
	programs map[string]*directProgram
	opened   int
}

// directProgram is one program's history and engine.
type directProgram struct {
	engine   string
	messages []generator.Message
	page     requester.HistoryPage
}

// DirectOption sets one property of a Direct.
type DirectOption func(*Direct)

// WithDirectHTTPClient sets the client that carries the requests.
func WithDirectHTTPClient(client *http.Client) DirectOption {
	return func(d *Direct) { d.http = client }
}

// WithInstructions begins every prompt with the text.
func WithInstructions(text string) DirectOption {
	return func(d *Direct) { d.instructions = text }
}

// WithService sends calls of the service to the base URL.
func WithService(name, base string) DirectOption {
	return func(d *Direct) { d.services[name] = base }
}

// NewDirect returns a Direct that generates with the model on the engines.
func NewDirect(engines []string, model string, options ...DirectOption) *Direct {
	d := &Direct{
		http:     http.DefaultClient,
		model:    model,
		engines:  engines,
		services: map[string]string{},
		programs: map[string]*directProgram{},
	}
	for _, option := range options {
		option(d)
	}
	return d
}

var _ Target = (*Direct)(nil)

// Attempts returns the number of HTTP requests sent so far.
func (d *Direct) Attempts() int64 { return d.sent.Load() }

// Open implements Target.
func (d *Direct) Open(_ context.Context, request OpenRequest) (requester.OpenReply, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := &directProgram{
		engine: d.engines[d.opened%len(d.engines)],
		page:   requester.HistoryPage{Program: request.Key, Agent: request.Agent},
	}
	if d.instructions != "" {
		p.messages = append(p.messages, generator.Message{Role: "User", Text: d.instructions})
	}
	d.opened++
	d.programs[request.Key] = p
	return requester.OpenReply{Program: request.Key}, nil
}

// Turn implements Target.
func (d *Direct) Turn(ctx context.Context, request TurnRequest) (TurnAnswer, error) {
	p, err := d.find(request.Program)
	if err != nil {
		return TurnAnswer{}, err
	}
	p.messages = append(p.messages, generator.Message{Role: "User", Text: request.Input})
	stream, usage, err := d.generate(ctx, p, request)
	if err != nil {
		return TurnAnswer{}, err
	}
	p.messages = append(p.messages, generator.Message{Role: "Assistant", Text: stream.Text})
	turned := requester.TurnReply{
		Program:  request.Program,
		Number:   request.Number,
		Text:     stream.Text,
		Usage:    usage,
		Endpoint: p.engine,
	}
	p.page.Turns = append(p.page.Turns, requester.TurnView{
		Number: request.Number,
		Input:  request.Input,
		Text:   stream.Text,
		Usage:  usage,
	})
	return TurnAnswer{TurnReply: turned, Stream: stream}, nil
}

// generate runs one generation and reads its stream.
func (d *Direct) generate(ctx context.Context, p *directProgram, request TurnRequest) (Stream, generator.Usage, error) {
	response, err := d.post(ctx, p.engine+"/v1/generate", encode(generator.GenerateRequest{
		Request:   request.Key,
		Program:   request.Program,
		Model:     d.model,
		Messages:  p.messages,
		MaxTokens: request.MaxTokens,
		Seed:      xxhash.Sum64String(request.Key),
	}))
	if err != nil {
		return Stream{}, generator.Usage{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return Stream{}, generator.Usage{}, &Refusal{
			Kind:   answerer.EndpointFailed,
			Ran:    answerer.RanAndFailed,
			Detail: fmt.Sprintf("%s answered %s", p.engine, response.Status),
		}
	}
	return readGeneration(response.Body)
}

// readGeneration reads an engine's stream to its last chunk.
func readGeneration(body io.Reader) (Stream, generator.Usage, error) {
	var stream Stream
	events := newEventReader(body)
	for {
		e, err := events.next()
		if err != nil {
			return stream, generator.Usage{}, err
		}
		var chunk generator.Chunk
		if err := e.decode(&chunk); err != nil {
			return stream, generator.Usage{}, err
		}
		stream.add(time.Now(), chunk)
		switch {
		case chunk.Error != "":
			return stream, generator.Usage{}, &Refusal{Kind: answerer.EndpointFailed, Ran: answerer.RanAndFailed, Detail: chunk.Error}
		case chunk.Done && chunk.Usage != nil:
			return stream, *chunk.Usage, nil
		case chunk.Done:
			return stream, generator.Usage{}, nil
		}
	}
}

// Call implements Target.
func (d *Direct) Call(ctx context.Context, request CallRequest) (CallAnswer, error) {
	base, ok := d.services[request.Service]
	if !ok {
		return CallAnswer{}, &Refusal{Kind: answerer.NoEndpoint, Ran: answerer.NotRun, Detail: request.Service}
	}
	response, err := d.post(ctx, base+"/"+request.Path, request.Body)
	if err != nil {
		return CallAnswer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	return readCall(response)
}

// History implements Target.
func (d *Direct) History(_ context.Context, program string) (requester.HistoryPage, error) {
	p, err := d.find(program)
	if err != nil {
		return requester.HistoryPage{}, err
	}
	return p.page, nil
}

// End implements Target.
func (d *Direct) End(ctx context.Context, program string) error {
	p, err := d.find(program)
	if err != nil {
		return err
	}
	d.mu.Lock()
	delete(d.programs, program)
	d.mu.Unlock()
	response, err := d.post(ctx, p.engine+"/v1/release", encode(generator.ReleaseRequest{Program: program}))
	if err != nil {
		return err
	}
	return response.Body.Close()
}

func (d *Direct) find(program string) (*directProgram, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p, ok := d.programs[program]; ok {
		return p, nil
	}
	return nil, &Refusal{Kind: answerer.NotFound, Ran: answerer.NotRun, Detail: program}
}

// post sends a request.
func (d *Direct) post(ctx context.Context, url string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, &Refusal{Kind: answerer.BadRequest, Ran: answerer.NotRun, Detail: err.Error()}
	}
	d.sent.Add(1)
	response, err := d.http.Do(request)
	if err != nil {
		return nil, notSent(err)
	}
	return response, nil
}
