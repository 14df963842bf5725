package queuer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/queuer"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const starveAfter = 10 * time.Second

func admitAll(queuer.Item) bool { return true }

// drawItem returns an item of one of three businesses with weights 1 to 3.
func drawItem(t *rapid.T, id int, now time.Time) queuer.Item {
	business := rapid.IntRange(1, 3).Draw(t, "business")
	return queuer.Item{
		ID:         fmt.Sprint(id),
		Business:   fmt.Sprint("b", business),
		Weight:     business,
		Precedence: rapid.IntRange(0, 2).Draw(t, "precedence"),
		Attained:   rapid.IntRange(0, 5).Draw(t, "attained") * 1000,
		Estimate:   rapid.IntRange(0, 500).Draw(t, "estimate"),
		Arrived:    now,
	}
}

// model is the reference model of a queue: the waiting items by id.
type model struct {
	queue   queuer.Queue
	waiting map[string]queuer.Item
	now     time.Time
	lastID  int
}

func (m *model) push(t *rapid.T) {
	m.lastID++
	item := drawItem(t, m.lastID, m.now)
	m.waiting[item.ID] = item
	m.queue.Push(item)
}

func (m *model) remove(t *rapid.T) {
	id := fmt.Sprint(rapid.IntRange(1, m.lastID+1).Draw(t, "id"))
	_, want := m.waiting[id]
	if got := m.queue.Remove(id); got != want {
		t.Fatalf("Remove(%s) = %v, want %v", id, got, want)
	}
	delete(m.waiting, id)
}

func (m *model) serve(t *rapid.T) {
	refused := rapid.IntRange(0, 4).Draw(t, "refused precedence")
	admissible := func(item queuer.Item) bool { return item.Precedence != refused }
	want := slices.ContainsFunc(m.items(), admissible)
	item, ok := m.queue.Next(m.now, admissible)
	if ok != want {
		t.Fatalf("Next found an item: %v, want %v", ok, want)
	}
	if !ok {
		return
	}
	kept := m.waiting[item.ID]
	kept.Urgent = item.Urgent
	if diff := cmp.Diff(kept, item); diff != "" {
		t.Fatal(diff)
	}
	if item.Urgent && item.Precedence > 0 {
		t.Fatalf("item %s of precedence %d is urgent", item.ID, item.Precedence)
	}
	if item.Precedence == refused {
		t.Fatalf("Next returned item %s, which is not admissible", item.ID)
	}
	delete(m.waiting, item.ID)
}

func (m *model) advanceClock(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 5).Draw(t, "seconds")) * time.Second)
}

func (m *model) items() []queuer.Item {
	items := make([]queuer.Item, 0, len(m.waiting))
	for _, item := range m.waiting {
		items = append(items, item)
	}
	return items
}

func (m *model) check(t *rapid.T) {
	if got, want := m.queue.Len(), len(m.waiting); got != want {
		t.Fatalf("Len() = %d, want %d", got, want)
	}
	for id := 1; id <= m.lastID; id++ {
		_, want := m.waiting[fmt.Sprint(id)]
		if got := m.queue.Position(m.now, fmt.Sprint(id)) > 0; got != want {
			t.Fatalf("item %d has a position: %v, want %v", id, got, want)
		}
	}
}

// No policy loses, duplicates or invents an item under any sequence of operations.
func TestQueueMatchesModel(t *testing.T) {
	for _, name := range []string{queuer.LeastAttained, queuer.FirstCome, queuer.ShortestCall} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				m := &model{
					queue:   queuer.New(compiler.Policy{Queue: name, StarveAfter: starveAfter}),
					waiting: map[string]queuer.Item{},
					now:     epoch,
				}
				t.Repeat(map[string]func(*rapid.T){
					"push": m.push, "remove": m.remove, "take": m.serve, "wait": m.advanceClock, "": m.check,
				})
			})
		})
	}
}

// Position is the number of calls of Next that it takes to serve an item.
func TestPositionMatchesServiceOrder(t *testing.T) {
	for _, name := range []string{queuer.LeastAttained, queuer.FirstCome, queuer.ShortestCall} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				queue := queuer.New(compiler.Policy{Queue: name, StarveAfter: starveAfter})
				count := rapid.IntRange(1, 30).Draw(t, "count")
				now := epoch
				for id := range count {
					queue.Push(drawItem(t, id, now))
					now = now.Add(time.Second)
				}
				want, got := map[string]int{}, map[string]int{}
				for id := range count {
					want[fmt.Sprint(id)] = queue.Position(now, fmt.Sprint(id))
				}
				for place := 1; place <= count; place++ {
					item, _ := queue.Next(now, admitAll)
					got[item.ID] = place
				}
				if diff := cmp.Diff(want, got); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

// Within a business an item is served before one with a lower precedence only if
// it is starved, and only once every four dispatches.
func TestPrecedenceYieldsOnlyToStarved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queue := queuer.New(compiler.Policy{StarveAfter: starveAfter})
		now := epoch
		waiting := map[string]queuer.Item{}
		sinceOvertaken := map[string]int{}
		for id := range rapid.IntRange(1, 100).Draw(t, "count") {
			item := drawItem(t, id, now)
			waiting[item.ID] = item
			queue.Push(item)
			now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "seconds")) * time.Second)
			if rapid.Bool().Draw(t, "only push") {
				continue
			}
			served, _ := queue.Next(now, admitAll)
			delete(waiting, served.ID)
			checkOrder(t, served, waiting, now, sinceOvertaken)
		}
	})
}

func checkOrder(t *rapid.T, served queuer.Item, waiting map[string]queuer.Item, now time.Time, since map[string]int) {
	overtakes := false
	for _, other := range waiting {
		overtakes = overtakes || other.Business == served.Business && other.Precedence < served.Precedence
	}
	since[served.Business]++
	if !overtakes {
		return
	}
	if now.Sub(served.Arrived) < starveAfter {
		t.Fatalf("item %s was served before one with a lower precedence after %v", served.ID, now.Sub(served.Arrived))
	}
	if since[served.Business] < 4 {
		t.Fatalf("starved items were served first twice within %d dispatches", since[served.Business])
	}
	since[served.Business] = 0
}

// A business that floods the queue does not delay the only item of another by more
// than one dispatch, or by maxUrgentLeadTokens of service if the flood is urgent.
func TestBusinessDoesNotStarveAnother(t *testing.T) {
	tests := []struct {
		name       string
		precedence int
		most       int
	}{{"Ordinary", 1, 2}, {"Urgent", 0, 22}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			queue := queuer.New(compiler.Policy{})
			for id := range 10000 {
				queue.Push(queuer.Item{
					ID: fmt.Sprint("flood", id), Business: "flood", Weight: 100,
					Precedence: test.precedence, Estimate: 100, Arrived: epoch,
				})
			}
			for range 500 {
				queue.Next(epoch, admitAll)
			}
			queue.Push(queuer.Item{ID: "only", Business: "small", Weight: 1, Precedence: 9, Estimate: 5000, Arrived: epoch})
			if position := queue.Position(epoch, "only"); position > test.most {
				t.Errorf("Position(only) = %d, want at most %d", position, test.most)
			}
		})
	}
}

// pushBacklog adds one business for each weight, each with count items.
func pushBacklog(t *rapid.T, queue queuer.Queue, weights []int, count, estimate, lowest int) {
	for b, weight := range weights {
		for id := range count {
			queue.Push(queuer.Item{
				ID: fmt.Sprint(b, "/", id), Business: fmt.Sprint(b), Weight: weight, Estimate: estimate,
				Precedence: lowest + rapid.IntRange(0, 2).Draw(t, "precedence"), Arrived: epoch,
			})
		}
	}
}

// While all businesses are backlogged, the service of each differs from its
// weighted share by at most two dispatches; urgent items add maxUrgentLeadTokens
// for each of the at most three other businesses.
func TestWeightedShares(t *testing.T) {
	const dispatches, estimate, urgentTokens = 600, 100, 2048
	tests := []struct {
		name     string
		lowest   int
		maxError int
	}{{"Ordinary", 1, 2 * estimate}, {"Urgent", 0, 2*estimate + 3*urgentTokens}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				queue := queuer.New(compiler.Policy{})
				weights := rapid.SliceOfN(rapid.IntRange(1, 5), 2, 4).Draw(t, "weights")
				pushBacklog(t, queue, weights, dispatches, estimate, test.lowest)
				total := 0
				for _, weight := range weights {
					total += weight
				}
				served := map[string]int{}
				for range dispatches {
					item, _ := queue.Next(epoch, admitAll)
					served[item.Business] += estimate
				}
				for b, weight := range weights {
					want := dispatches * estimate * weight / total
					if got := served[fmt.Sprint(b)]; got < want-test.maxError || got > want+test.maxError {
						t.Fatalf("business %d was served %d tokens, want about %d", b, got, want)
					}
				}
			})
		})
	}
}

// Urgent items are served before the items of a business with a lower start tag
// until their own business exceeds maxUrgentLeadTokens; then the other business is
// served.
func TestUrgentLeadIsBounded(t *testing.T) {
	queue := queuer.New(compiler.Policy{})
	for id := range 100 {
		queue.Push(queuer.Item{ID: fmt.Sprint("hot", id), Business: "hot", Estimate: 1000, Arrived: epoch})
	}
	queue.Push(queuer.Item{ID: "other", Business: "other", Precedence: 5, Estimate: 1000, Arrived: epoch})
	place := queue.Position(epoch, "other")
	if diff := cmp.Diff(4, place); diff != "" {
		t.Error(diff)
	}
	for range place - 1 {
		if item, _ := queue.Next(epoch, admitAll); !item.Urgent {
			t.Errorf("item %s is not urgent", item.ID)
		}
	}
}

// An item is served soon after it counts as starved, even if items with a lower
// precedence arrive faster than the queue is served.
func TestStarvedItemIsServed(t *testing.T) {
	queue := queuer.New(compiler.Policy{StarveAfter: starveAfter})
	queue.Push(queuer.Item{ID: "low", Business: "b", Precedence: 9, Attained: 1 << 30, Estimate: 1, Arrived: epoch})
	now := epoch
	for id := range 100 {
		queue.Push(queuer.Item{ID: fmt.Sprint(id), Business: "b", Estimate: 1, Arrived: now})
		queue.Push(queuer.Item{ID: fmt.Sprint("extra", id), Business: "b", Estimate: 1, Arrived: now})
		now = now.Add(time.Second)
		if item, _ := queue.Next(now, admitAll); item.ID != "low" {
			continue
		}
		if waited := now.Sub(epoch); waited > starveAfter+4*time.Second {
			t.Errorf("the item waited %v, want at most %v", waited, starveAfter+4*time.Second)
		}
		return
	}
	t.Error("the item was never served")
}

// A business whose items were not admissible for some time does not take all of
// the service when they are admissible again.
func TestCreditIsBounded(t *testing.T) {
	queue := queuer.New(compiler.Policy{})
	for id := range 1000 {
		queue.Push(queuer.Item{ID: fmt.Sprint("a", id), Business: "a", Estimate: 4096, Arrived: epoch})
		queue.Push(queuer.Item{ID: fmt.Sprint("b", id), Business: "b", Estimate: 4096, Arrived: epoch})
	}
	for range 500 {
		queue.Next(epoch, func(item queuer.Item) bool { return item.Business == "b" })
	}
	run := 0
	for item, _ := queue.Next(epoch, admitAll); item.Business == "a"; item, _ = queue.Next(epoch, admitAll) {
		run++
	}
	if run > 18 {
		t.Errorf("business a was served %d times in a row, want at most 18", run)
	}
}

// push10k adds 10,000 items, spread evenly over the businesses.
func push10k(queue queuer.Queue, businesses int) {
	for id := range 10000 {
		queue.Push(queuer.Item{
			ID: fmt.Sprint(id), Business: fmt.Sprint(id % businesses), Precedence: id % 3,
			Attained: id * 7919 % 100000, Estimate: 100, Arrived: epoch.Add(time.Duration(id)),
		})
	}
}

func BenchmarkNext(b *testing.B) {
	for _, businesses := range []int{2, 20, 500} {
		b.Run(fmt.Sprint("Served", businesses), func(b *testing.B) {
			queue := queuer.New(compiler.Policy{})
			push10k(queue, businesses)
			for b.Loop() {
				item, _ := queue.Next(epoch, admitAll)
				queue.Push(item)
			}
		})
		b.Run(fmt.Sprint("Refused", businesses), func(b *testing.B) {
			queue := queuer.New(compiler.Policy{})
			push10k(queue, businesses)
			for b.Loop() {
				queue.Next(epoch, func(queuer.Item) bool { return false })
			}
		})
	}
}
