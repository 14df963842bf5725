package registrar_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/registrar"
)

// Load: endpoints with 6 slots and a queue of 24 shed calls when they are full. Instances went
// on sending to them, as a full endpoint with free ones behind it in the ranking does not look
// different from a loaded one.
func TestFullEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := registrar.New()
		a, b := registrar.Endpoint{ID: "a", Service: "s", Slots: 6}, registrar.Endpoint{ID: "b", Service: "s", Slots: 6}
		r.Replace([]registrar.Endpoint{a, b})
		isFull := func(id string) bool {
			for _, c := range r.Candidates("s") {
				if c.ID == id {
					return c.IsFull
				}
			}
			t.Fatal(id)
			return false
		}
		full := registrar.Load{Running: 6, Waiting: 24, Slots: 6}
		r.Report("b", full)
		if isFull("b") {
			t.Error("an endpoint is full before any has shed")
		}
		// Shedding with free slots, or without a queue, has another reason.
		r.ReportShed(a, registrar.Load{Running: 2, Waiting: 3})
		r.ReportShed(a, registrar.Load{Running: 6})
		r.ReportShed(a, full)
		r.ReportShed(a, registrar.Load{Running: 6, Waiting: 1})
		r.Report("a", registrar.Load{Running: 6, Waiting: 23, Slots: 6})
		if isFull("a") || !isFull("b") {
			t.Errorf("a is full %v, b %v", isFull("a"), isFull("b"))
		}
		r.Begin("a")
		if !isFull("a") {
			t.Error("own requests since the report do not count")
		}
		time.Sleep(400 * time.Millisecond)
		if isFull("a") || isFull("b") {
			t.Error("an endpoint is full by an old report")
		}
	})
}
