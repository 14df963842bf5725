package quarantiner

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// testCrash is a crash, with the time at which each of its requests was sent, in tenths of a
// second. The first word of a request's name is its target.
type testCrash struct {
	at   int
	sent map[string]int
}

func key(name string) Key { return KeyOf("", "", name, nil) }

func tenths(n int) time.Time {
	return time.Unix(1_000_000, 0).Add(time.Duration(n) * 100 * time.Millisecond)
}

func causesOf(crashes []testCrash, served map[string]int) map[string]bool {
	var all []crash
	names := map[Key]string{}
	for _, tc := range crashes {
		c := crash{at: tenths(tc.at), sent: map[Key]sending{}}
		for name, sentAt := range tc.sent {
			target, _, _ := strings.Cut(name, " ")
			c.sent[key(name)] = sending{at: tenths(sentAt), target: key("to " + target)}
			names[key(name)], names[key("to "+target)] = name, "to "+target
		}
		all = append(all, c)
	}
	servedAt := map[Key]time.Time{}
	for name, at := range served {
		servedAt[key(name)] = tenths(at)
	}
	causes := map[string]bool{}
	for k, s := range attribute(all, servedAt, nil) {
		if s.isCause {
			causes[names[k]] = true
		}
	}
	return causes
}

func TestCrashesAreAttributedToTheirCause(t *testing.T) {
	for _, tc := range []struct {
		name    string
		crashes []testCrash
		served  map[string]int
		want    map[string]bool
	}{
		{"two crashes are not enough", []testCrash{{1, map[string]int{"bad": 0}}, {3, map[string]int{"bad": 2}}}, nil, map[string]bool{}},
		{"third crash", []testCrash{{1, map[string]int{"bad": 0, "a": 0}}, {3, map[string]int{"bad": 2, "b": 2}}, {5, map[string]int{"bad": 4}}}, nil, map[string]bool{"bad": true}},
		{
			"a neighbour in each crash but one",
			[]testCrash{{1, map[string]int{"bad": 0, "a": 0}}, {3, map[string]int{"bad": 2, "a": 2}}, {5, map[string]int{"bad": 4, "a": 4}}, {7, map[string]int{"bad": 6}}},
			nil,
			map[string]bool{"bad": true},
		},
		{
			"always together",
			[]testCrash{{1, map[string]int{"a": 0, "b": 0}}, {3, map[string]int{"a": 2, "b": 2}}, {5, map[string]int{"a": 4, "b": 4}}},
			nil,
			map[string]bool{},
		},
		{
			"served in between",
			[]testCrash{{1, map[string]int{"a": 0}}, {3, map[string]int{"a": 2}}, {6, map[string]int{"a": 5}}},
			map[string]int{"a": 4},
			map[string]bool{},
		},
		{
			"three endpoints end at the same moment",
			[]testCrash{{5, map[string]int{"popular": 4}}, {5, map[string]int{"popular": 4}}, {6, map[string]int{"popular": 4}}},
			nil,
			map[string]bool{},
		},
		{
			"another form of the same work",
			[]testCrash{
				{1, map[string]int{"bad": 0}},
				{3, map[string]int{"bad": 2}},
				{5, map[string]int{"bad": 4}},
				{101, map[string]int{"bad again": 100, "a": 100}},
			},
			nil,
			map[string]bool{"bad": true, "to bad": true},
		},
		{
			"a form for each caller",
			[]testCrash{{1, map[string]int{"bad 1": 0, "a": 0}}, {3, map[string]int{"bad 2": 2}}, {5, map[string]int{"bad 3": 4}}},
			nil,
			map[string]bool{"to bad": true},
		},
		{
			"other requests to the target are served",
			[]testCrash{{1, map[string]int{"bad 1": 0, "a": 0}}, {3, map[string]int{"bad 2": 2}}, {5, map[string]int{"bad 3": 4}}},
			map[string]int{"to bad": 4},
			map[string]bool{},
		},
		{
			"a neighbour to the same target",
			[]testCrash{
				{1, map[string]int{"bad": 0, "bad good": 0}}, {3, map[string]int{"bad": 2}}, {5, map[string]int{"bad": 4}}, {7, map[string]int{"bad": 6}},
			},
			map[string]int{"to bad": 2},
			map[string]bool{"bad": true},
		},
		{
			"neighbours to a target of their own",
			[]testCrash{
				{1, map[string]int{"bad": 0, "good 1": 0}}, {3, map[string]int{"bad": 2, "good 2": 2}}, {5, map[string]int{"bad": 4, "good 3": 4}}, {7, map[string]int{"bad": 6, "good 4": 4}},
			},
			nil,
			map[string]bool{"bad": true},
		},
		{
			"two causes that met once",
			[]testCrash{
				{1, map[string]int{"a": 0, "b": 0}},
				{3, map[string]int{"a": 2}},
				{3, map[string]int{"b": 2}},
				{5, map[string]int{"a": 4}},
				{5, map[string]int{"b": 4}},
				{7, map[string]int{"a": 6}},
				{7, map[string]int{"b": 6}},
			},
			nil,
			map[string]bool{"a": true, "b": true},
		},
	} {
		if diff := cmp.Diff(tc.want, causesOf(tc.crashes, tc.served)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", tc.name, diff)
		}
	}
}

// A cause stays one with further crashes, whatever else is in them.
func TestKnownCausesStay(t *testing.T) {
	bad, other := key("bad"), key("other")
	var crashes []crash
	for i := range minCrashes {
		crashes = append(crashes, crash{at: tenths(2*i + 1), sent: map[Key]sending{bad: {at: tenths(2 * i)}, other: {at: tenths(2 * i)}}})
	}
	crashes = append(crashes, crash{at: tenths(100), sent: map[Key]sending{other: {at: tenths(99)}}})
	got := attribute(crashes, nil, map[Key]bool{bad: true})
	if !got[bad].isCause || got[other].isCause || got[other].crashes != 1 {
		t.Errorf("known cause %+v, its neighbour %+v", got[bad], got[other])
	}
}

// Replays the load of the day of BUDGET: nine engines that are back 3 s after a crash, turns of
// 200 ms that come again up to five times after they broke off, among them one that crashes
// each engine and comes back with other programs all the time. Its neighbours, which are
// broken off beside it, must not be taken for the cause.
func TestNeighboursOfACrashingRequestAreNotItsCause(t *testing.T) {
	const engines, seeds = 9, 100
	late := 0
	for seed := range uint64(seeds) {
		crashes, sound := replayCrashes(rand.New(rand.NewPCG(seed, 1)), engines)
		if sound > 0 {
			t.Errorf("seed %d: %d sound requests were taken for the cause", seed, sound)
		}
		if crashes > minCrashes+2 {
			late++
		}
	}
	if late > seeds/20 {
		t.Errorf("in %d of %d seeds more than %d crashes until the cause was found", late, seeds, minCrashes+2)
	}
}

// targetOf returns one of 256 targets.
func targetOf(k Key) Key { return key("to one of " + string(k[:1])) }

// replayCrashes plays one seed for 20 s. It returns the number of crashes until the cause was
// found and the number of sound requests that were taken for a cause.
func replayCrashes(random *rand.Rand, engines int) (crashesUntilFound, sound int) {
	type turn struct {
		key      Key
		engine   int
		sent     int
		attempts int
	}
	const (
		duration, crashAfter, downTime = 200, 60, 3000
		step                           = 10
	)
	at := func(ms int) time.Time { return time.Unix(1_000_000, 0).Add(time.Duration(ms) * time.Millisecond) }
	bad := key("bad")
	var running, waiting []turn
	downUntil := make([]int, engines)
	var crashes []crash
	served := map[Key]time.Time{}
	isFound := false
	place := func(t turn, now int) turn {
		t.sent, t.attempts = now, t.attempts+1
		for t.engine = random.IntN(engines); downUntil[t.engine] > now; t.engine = random.IntN(engines) {
		}
		return t
	}
	next := 0
	for now := 0; now < 20_000; now += step {
		if random.IntN(100) < 90 { // 90 turns a second
			next++
			waiting = append(waiting, turn{key: key(fmt.Sprint("sound", next)), sent: now})
		}
		if random.IntN(1000) < 25 && !isFound {
			waiting = append(waiting, turn{key: bad, sent: now})
		}
		var later []turn
		for _, t := range waiting {
			if t.sent > now || slices.Min(downUntil) > now {
				later = append(later, t)
				continue
			}
			running = append(running, place(t, now))
		}
		waiting = later
		ended := map[int]bool{}
		for _, t := range running {
			if t.key == bad && now-t.sent >= crashAfter {
				ended[t.engine] = true
			}
		}
		var left []turn
		hit := map[int]*crash{}
		for _, t := range running {
			switch {
			case ended[t.engine]:
				if hit[t.engine] == nil {
					hit[t.engine] = &crash{at: at(now), sent: map[Key]sending{}}
				}
				hit[t.engine].sent[t.key] = sending{at: at(t.sent), target: targetOf(t.key)}
				if t.attempts < 6 && (t.key != bad || !isFound) {
					t.sent = now + 100 + random.IntN(300)
					waiting = append(waiting, t)
				}
			case now-t.sent >= duration:
				served[t.key], served[targetOf(t.key)] = at(now), at(now)
			default:
				left = append(left, t)
			}
		}
		running = left
		for engine, c := range hit {
			downUntil[engine] = now + downTime
			crashes = append(crashes, *c)
		}
		if len(hit) == 0 {
			continue
		}
		for k, s := range attribute(crashes, served, nil) {
			switch {
			case s.isCause && k == bad && !isFound:
				isFound, crashesUntilFound = true, len(crashes)
			case s.isCause && k != bad && k != targetOf(bad):
				sound++
			}
		}
	}
	return crashesUntilFound, sound
}
