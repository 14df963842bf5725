package fakeengine

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/wigeonstand/wigeonstand/internal/generator"
)

// batchMachine drives a batch without an engine's clock or connections.
type batchMachine struct {
	batch  *batch
	counts Counts
	all    []*sequence
}

func newBatchMachine(slots int) *batchMachine {
	m := &batchMachine{}
	settings := Settings{Slots: slots, PrefillChunk: 6, BlockTokens: testBlock, CacheTokens: 8 * testBlock}
	c := newCache(settings.CacheTokens, testBlock, ignoreChange)
	m.batch = &batch{settings: settings, cache: c, counts: &m.counts}
	return m
}

func (m *batchMachine) submit(t *rapid.T) {
	request := generator.GenerateRequest{
		Request:   fmt.Sprint(len(m.all)),
		Program:   rapid.SampledFrom([]string{"p", "q"}).Draw(t, "program"),
		Priority:  rapid.IntRange(0, 2).Draw(t, "priority"),
		MaxTokens: rapid.IntRange(3, 12).Draw(t, "tokens"),
		Offset:    rapid.IntRange(0, 2).Draw(t, "offset"),
		Messages:  []generator.Message{{Role: "User", Text: strings.Repeat("w ", rapid.IntRange(0, 40).Draw(t, "prompt"))}},
	}
	s := newSequence(request, m.batch.settings)
	m.batch.submit(s)
	m.all = append(m.all, s)
}

func (m *batchMachine) cancel(t *rapid.T) {
	if len(m.all) > 0 {
		m.batch.cancel(rapid.SampledFrom(m.all).Draw(t, "canceled"))
	}
}

// step runs one step; nothing more urgent may be left waiting by it.
func (m *batchMachine) step(t *rapid.T) {
	waiting := slices.Clone(m.batch.waiting)
	if _, busy := m.batch.start(); !busy {
		return
	}
	for i, s := range m.batch.waiting {
		if s != waiting[len(waiting)-len(m.batch.waiting)+i] {
			t.Fatal("a generation was admitted out of turn")
		}
	}
	m.batch.finish()
}

func (m *batchMachine) check(t *rapid.T) {
	if len(m.batch.running) > m.batch.settings.Slots {
		t.Fatalf("%d run in %d slots", len(m.batch.running), m.batch.settings.Slots)
	}
	if !slices.IsSortedFunc(m.batch.waiting, compareSequences) {
		t.Fatal("the queue is out of order")
	}
	active := len(m.batch.running) + len(m.batch.waiting)
	if ended := m.counts.Completed + m.counts.Canceled; ended+active != len(m.all) {
		t.Fatalf("%d ended and %d active of %d", ended, active, len(m.all))
	}
	for _, s := range m.all {
		if s.done && s.failure == "" && s.produced != s.request.MaxTokens {
			t.Fatalf("a generation of %d tokens ended whole at %d", s.request.MaxTokens, s.produced)
		}
	}
}

func TestBatchServesEveryGenerationOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newBatchMachine(rapid.IntRange(1, 3).Draw(t, "slots"))
		t.Repeat(map[string]func(*rapid.T){
			"submit": m.submit,
			"cancel": m.cancel,
			"step":   m.step,
			"":       m.check,
		})
		const enough = 10000
		for range enough {
			m.step(t)
		}
		m.check(t)
		if left := len(m.batch.running) + len(m.batch.waiting); left > 0 {
			t.Fatalf("%d generations never end", left)
		}
		if len(m.batch.cache.pins) > 0 || m.batch.cache.tokens() > m.batch.settings.CacheTokens {
			t.Fatalf("%d pins and %d tokens are left", len(m.batch.cache.pins), m.batch.cache.tokens())
		}
	})
}
