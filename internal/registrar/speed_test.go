package registrar_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/registrar"
)

// usualWork is what a turn needs at usual speed.
const usualWork = 20 * time.Millisecond

// serve records turns that took the multiple of the usual time at a stated pace.
func serve(r *registrar.Registry, e registrar.Endpoint, n int, multiple, pace float64) {
	for range n {
		took := time.Duration(float64(usualWork) * multiple * pace)
		r.RecordServed(e, registrar.Sample{
			Kind: "r", Tokens: 1000, Prefill: took, Generation: took, Events: 5, Load: &registrar.Load{Running: 1, Slots: 8, Pace: pace},
		})
	}
}

func speedOf(r *registrar.Registry, id string) registrar.Speed {
	return r.Draw(nil, "s", id, "")[0].Speed
}

// A slow machine is told from a usual one that a neighbour slows down for a moment, and its
// speed is known to other instances. It is forgotten with the process, the version, and with
// time, so that the endpoint gets requests again.
func TestSpeedIsLearnedAndForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		usual, slow, disturbed := newEndpoint("usual"), newEndpoint("slow"), newEndpoint("disturbed")
		all := fleet(3, usual, slow, disturbed)
		for range 200 {
			serve(all[0], usual, 1, 1, 1)
			serve(all[0], slow, 1, 2, 1)
			serve(all[0], disturbed, 1, 1, 2.5)
		}
		for _, e := range []registrar.Endpoint{usual, slow, disturbed} {
			all[0].Report(e.ID, registrar.Load{Slots: 8})
		}
		ask(t, all[0], all[2])
		ask(t, all[1], all[2])
		for i, r := range all {
			s, other, d := speedOf(r, "slow"), speedOf(r, "usual"), speedOf(r, "disturbed")
			ratio, generation := s.Prefill()/other.Prefill(), s.Generation()/other.Generation()
			if ratio < 1.5 || ratio > 2 || generation < 1.5 || generation > 2 || s.Confidence < 0.8 {
				t.Errorf("instance %d: slow %+v, usual %+v", i, s, other)
			}
			if ratio := d.Prefill() / other.Prefill(); ratio < 0.9 || ratio > 1.1 {
				t.Errorf("instance %d: a burst counts as a slow machine: %+v, usual %+v", i, d, other)
			}
		}
		other := slow
		other.Version = "v2"
		all[1].Replace([]registrar.Endpoint{usual, other})
		restarted := slow
		restarted.Started = slow.Started.Add(time.Second)
		all[2].Replace([]registrar.Endpoint{usual, restarted})
		for _, r := range all[1:] {
			r.Merge(all[0].Observations())
			if got := speedOf(r, "slow"); got != (registrar.Speed{}) {
				t.Errorf("not forgotten: %+v", got)
			}
		}
		time.Sleep(5 * time.Minute)
		if got := speedOf(all[0], "slow"); got.Confidence > 0.1 || got.Prefill() > 1.1 {
			t.Errorf("after five minutes without requests: %+v", got)
		}
	})
}

// Requests that may have waited, and those without a load, show nothing of the speed.
func TestNoSampleOfTheSpeed(t *testing.T) {
	for _, s := range []registrar.Sample{
		{Kind: "r", Prefill: usualWork, Load: &registrar.Load{Waiting: 1}},
		{Kind: "r", Prefill: usualWork, Load: &registrar.Load{}, MayHaveWaited: true},
		{Kind: "r", Prefill: usualWork},
		{Kind: "r", Load: &registrar.Load{}},
	} {
		r := fleet(1, newEndpoint("a"))[0]
		r.RecordServed(newEndpoint("a"), s)
		if got := speedOf(r, "a"); got != (registrar.Speed{}) || r.Usual("s", "r") != (registrar.Usual{}) {
			t.Errorf("%+v: %+v", s, got)
		}
	}
}

// What the cache of a turn's home saves is known exactly: the time that prompts need
// elsewhere less that at home.
func TestHomePrefillIsKnownApart(t *testing.T) {
	r := fleet(1, newEndpoint("a"))[0]
	for _, isHome := range []bool{false, true} {
		s := registrar.Sample{Kind: "r", Tokens: 1000, IsHome: isHome, Prefill: 10 * time.Millisecond, Load: &registrar.Load{}}
		if isHome {
			s.Prefill = 2 * time.Millisecond
		}
		r.RecordServed(newEndpoint("a"), s)
	}
	if u := r.Usual("s", "r"); u.Prefill != 10*time.Microsecond || u.HomePrefill != 2*time.Microsecond {
		t.Errorf("%+v", u)
	}
}

// Guards against endpoints of unequal machines that are taken for equal ones, and the reverse: a
// service is uneven while this or another instance has a recent load with an unusual pace.
func TestUnevenServicesAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		own, other := registrar.New(), registrar.New()
		for _, r := range []*registrar.Registry{own, other} {
			r.Replace([]registrar.Endpoint{newEndpoint("a")})
			r.Report("a", registrar.Load{Running: 1, Slots: 8})
			r.Report("a", registrar.Load{Running: 1, Slots: 8, Pace: 1})
			if r.IsUneven("s") {
				t.Error("no endpoint has stated an unusual pace")
			}
		}
		time.Sleep(100 * time.Millisecond)
		own.Report("a", registrar.Load{Running: 1, Slots: 8, Pace: 1.5})
		other.Merge(own.Observations())
		if !own.IsUneven("s") || !other.IsUneven("s") || own.IsUneven("t") {
			t.Error("the pace is not known, or taken for that of another service")
		}
		time.Sleep(time.Minute)
		if own.IsUneven("s") {
			t.Error("the service is still uneven")
		}
	})
}
