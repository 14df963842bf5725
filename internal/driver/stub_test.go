package driver_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/driver"
	"github.com/wigeonstand/wigeonstand/internal/fakeengine"
	"github.com/wigeonstand/wigeonstand/internal/faker"
	"github.com/wigeonstand/wigeonstand/internal/generator"
	"github.com/wigeonstand/wigeonstand/internal/logger"
	"github.com/wigeonstand/wigeonstand/internal/requester"
)

const (
	bearerKey = "secret"
	chunkTime = 10 * time.Millisecond
)

// stub speaks the callers' API in memory. Strike, if set, is asked for the
// fault of each request, by operation.
type stub struct {
	strike func(operation string) string

	mu       sync.Mutex
	programs map[string]*stubProgram
	calls    map[string]int
	inputs   []string
	requests int
}

type stubProgram struct {
	page     requester.HistoryPage
	messages []generator.Message
}

func (s *stub) handler() http.Handler {
	s.programs = map[string]*stubProgram{}
	s.calls = map[string]int{}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/programs", s.struck("Open", s.open))
	mux.HandleFunc("POST /v1/programs/{id}/turns", s.struck("Turn", s.turn))
	mux.HandleFunc("POST /v1/services/{name}/{path...}", s.struck("Call", s.call))
	mux.HandleFunc("GET /v1/programs/{id}/history", s.struck("History", s.history))
	mux.HandleFunc("DELETE /v1/programs/{id}", s.struck("End", s.end))
	return mux
}

// struck refuses, cuts or delays the request as its fault says.
func (s *stub) struck(operation string, next func(http.ResponseWriter, *http.Request, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.requests++
		fault := ""
		if s.strike != nil {
			fault = s.strike(operation)
		}
		s.mu.Unlock()
		switch {
		case r.Header.Get("Authorization") != "Bearer "+bearerKey:
			refuse(w, answerer.Unauthenticated)
		case strings.HasPrefix(fault, "refuse "):
			refuse(w, answerer.Kind(strings.TrimPrefix(fault, "refuse ")))
		case fault == "cut before":
			faker.Abort()
		case fault == "stall":
			time.Sleep(10 * time.Second)
			fallthrough
		default:
			next(w, r, fault)
		}
	}
}

// refusal is the body of a refusal.
type refusal struct {
	Kind       answerer.Kind
	Ran        answerer.ExecutionStatus
	RetryAfter float64
	Request    string
}

func refusalOf(kind answerer.Kind) refusal {
	row := answerer.Lookup(kind)
	return refusal{Kind: row.Kind, Ran: row.Ran, RetryAfter: row.RetryAfter.Seconds(), Request: "01"}
}

func refuse(w http.ResponseWriter, kind answerer.Kind) {
	w.Header().Set("Wigeonstand-Kind", string(kind))
	faker.WriteJSON(w, answerer.Lookup(kind).Status, refusalOf(kind))
}

func (s *stub) open(w http.ResponseWriter, r *http.Request, fault string) {
	var request driver.OpenRequest
	if !faker.ReadJSON(w, r, &request) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id := "p-" + request.Key
	if s.programs[id] == nil {
		s.programs[id] = &stubProgram{page: requester.HistoryPage{Program: id, Agent: request.Agent, Chain: "root"}}
	}
	budget := 1_000_000
	if fault == "small" {
		budget = 1
	}
	faker.WriteJSON(w, http.StatusCreated, requester.OpenReply{Program: id, Budget: budget, Chain: "root"})
}

func (s *stub) turn(w http.ResponseWriter, r *http.Request, fault string) {
	var request driver.TurnRequest
	if !faker.ReadJSON(w, r, &request) {
		return
	}
	turned, whole := s.take(r.PathValue("id"), request, fault)
	if fault == "take and refuse" {
		refuse(w, answerer.BudgetExhausted)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	words := strings.Fields(whole)
	half := len(words) / 2
	first, second := strings.Join(words[:half], " "), " "+strings.Join(words[half:], " ")
	event(w, "chunk", generator.Chunk{Text: first, Tokens: half})
	if fault == "cut" {
		faker.Abort()
	}
	if fault == "late refuse" {
		event(w, "error", refusalOf(answerer.AnswerTruncated))
		return
	}
	time.Sleep(chunkTime)
	offset := half
	if fault == "overlap" {
		offset--
	}
	event(w, "chunk", generator.Chunk{Offset: offset, Text: second, Tokens: len(words) - half, Done: true})
	event(w, "complete", turned)
}

func event(w http.ResponseWriter, name string, value any) {
	body, _ := json.Marshal(value)
	_, _ = fmt.Fprintf(w, ": comment\nevent: %s\ndata: %s\n\n", name, body)
	_ = http.NewResponseController(w).Flush()
}

// take takes the turn once and returns the answer and the text to be streamed.
func (s *stub) take(id string, request driver.TurnRequest, fault string) (requester.TurnReply, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.programs[id]
	if len(p.page.Turns) < request.Number {
		s.inputs = append(s.inputs, request.Input)
		p.take(request)
	}
	view := p.page.Turns[request.Number-1]
	turned := requester.TurnReply{
		Program: id, Number: view.Number, Text: view.Text, Usage: view.Usage, Chain: view.Chain, Remaining: 7,
	}
	if fault != "" {
		spoil(&turned, p, fault)
	}
	return turned, view.Text
}

// take adds the turn to the history.
func (p *stubProgram) take(request driver.TurnRequest) {
	p.messages = append(p.messages, generator.Message{Role: "User", Text: request.Input})
	text := fakeengine.Text(1, p.messages, 0, request.MaxTokens)
	p.messages = append(p.messages, generator.Message{Role: "Assistant", Text: text})
	p.page.Chain = "chain-" + request.Key
	p.page.Turns = append(p.page.Turns, requester.TurnView{
		Number: request.Number, Input: request.Input, Text: text, Chain: p.page.Chain,
		Usage: generator.Usage{Prompt: 10, Cached: 4, Generated: request.MaxTokens},
	})
}

// spoil makes an answer, or the history, wrong in one way.
func spoil(turned *requester.TurnReply, p *stubProgram, fault string) {
	last := &p.page.Turns[len(p.page.Turns)-1]
	switch fault {
	case "other program":
		turned.Program = "p-other"
	case "shortened":
		turned.Text = strings.Join(strings.Fields(turned.Text)[:3], " ")
	case "crossed":
		last.Text = fakeengine.Text(1, []generator.Message{{Text: "other"}}, 0, 12)
		turned.Text = last.Text
	case "same chain":
		turned.Chain = "root"
	case "overdrawn":
		turned.Remaining = -1
	case "forgotten":
		p.page.Turns = p.page.Turns[:len(p.page.Turns)-1]
	case "doubled":
		p.page.Turns = append(p.page.Turns, *last)
	}
}

func (s *stub) call(w http.ResponseWriter, r *http.Request, fault string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.calls[r.Header.Get("Wigeonstand-Key")]++
	s.mu.Unlock()
	switch fault {
	case "cut":
		faker.Abort()
	case "crossed":
		body = []byte("another's answer")
	case "own 500":
		w.WriteHeader(http.StatusInternalServerError)
		body = []byte("the service's own answer")
	}
	_, _ = w.Write(body)
}

func (s *stub) history(w http.ResponseWriter, r *http.Request, _ string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	faker.WriteJSON(w, http.StatusOK, s.programs[r.PathValue("id")].page)
}

func (s *stub) end(w http.ResponseWriter, r *http.Request, _ string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.programs[r.PathValue("id")].page.Ended = true
	faker.WriteJSON(w, http.StatusOK, requester.EndReply{Program: r.PathValue("id")})
}

// allEnded says whether every program was ended.
func (s *stub) allEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.programs {
		if !p.page.Ended {
			return false
		}
	}
	return len(s.programs) > 0
}

// onFirst returns a strike of the first requests of an operation.
func onFirst(n int, operation, fault string) func(string) string {
	return func(struck string) string {
		if struck != operation || n == 0 {
			return ""
		}
		n--
		return fault
	}
}

// serve serves the handler in memory until the function returned is called.
func serve(t *testing.T, handler http.Handler) (*http.Client, func()) {
	t.Helper()
	listener := faker.NewPipeListener()
	transport := listener.Transport()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		done <- faker.Server{Grace: time.Second}.ServeOn(ctx, logger.Discard(), listener, handler)
	}()
	return &http.Client{Transport: transport}, func() {
		transport.CloseIdleConnections()
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}

// sortedInputs returns the inputs of all turns taken.
func (s *stub) sortedInputs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(slices.Values(s.inputs))
}
