package registrar_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/wigeonstand/wigeonstand/internal/registrar"
)

// What travels with a call to a bookkeeper is sent several times a second by each instance.
func TestSizeOfObservations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var endpoints []registrar.Endpoint
		for i := range 48 {
			e := newEndpoint(fmt.Sprintf("i-%010d", i))
			e.Started = time.Now()
			endpoints = append(endpoints, e)
		}
		r := fleet(1, endpoints...)[0]
		for i, e := range endpoints {
			load := registrar.Load{Running: 6, Waiting: 2, Slots: 6, Pace: 1.3}
			r.Report(e.ID, load)
			time.Sleep(time.Millisecond)
			r.RecordServed(e, registrar.Sample{Kind: "r", Tokens: 100, Prefill: time.Millisecond, Generation: time.Millisecond, Events: 4, Load: &registrar.Load{}})
			if i%4 == 0 {
				r.Begin(e.ID)
			}
		}
		for name, observations := range map[string][]registrar.Observation{"call": r.ObservationsFor("b"), "answer": r.Observations()} {
			text, err := cbor.Marshal(observations)
			if err != nil {
				t.Fatal(err)
			}
			// Without the pace, the changes and the speeds these are 1,874 bytes.
			if len(text) > 2250 {
				t.Errorf("%s: %d bytes for 48 endpoints", name, len(text))
			}
		}
	})
}
