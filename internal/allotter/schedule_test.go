package allotter

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/discoverer"
	"github.com/wigeonstand/wigeonstand/internal/fakeplatform"
	"github.com/wigeonstand/wigeonstand/internal/storer"
)

// startNode starts a process of the instance in place of the one before, with the cores and the store.
func (f *fleet) startNode(i int, incarnation string, cores float64, rows storer.Rows) {
	m := memberWithCores(i, cores)
	m.Incarnation = m.Instance + "/" + incarnation
	f.launch(i, m, rows)
}

func memberWithCores(i int, cores float64) discoverer.Member {
	name := fmt.Sprintf("i-%d", i)
	return discoverer.Member{Instance: name, Incarnation: name, Address: nodeAddress(i), DataCentre: "dc", Cores: cores}
}

// orderOf returns the indices of the instances with the cores, in the order of the account.
func orderOf(account string, cores ...float64) []int {
	out := make([]int, len(cores))
	for i := range out {
		out[i] = i
	}
	slices.SortFunc(out, func(a, b int) int {
		x, y := discoverer.Row{Member: memberWithCores(a, cores[a])}, discoverer.Row{Member: memberWithCores(b, cores[b])}
		if x.Outranks(account, &y) {
			return -1
		}
		return 1
	})
	return out
}

// accountWith returns an account for which the condition holds.
func accountWith(t *testing.T, isFit func(account string) bool) string {
	t.Helper()
	for k := range 10_000 {
		if account := fmt.Sprint("account-", k); isFit(account) {
			return account
		}
	}
	t.Fatal("no account fits")
	return ""
}

// emptyFleet returns a fleet without processes.
func emptyFleet(size int) *fleet {
	f := newFleet(0, 1, 0)
	f.nodes = make([]*node, size)
	return f
}

// demandFor sends the demand of an account at every instance for the time.
func (f *fleet) demandFor(account string, rate float64, d time.Duration) {
	done := make(chan struct{})
	var work sync.WaitGroup
	for k := range 12 {
		work.Go(func() { f.demand(k, account, rate, done) })
	}
	time.Sleep(d)
	close(done)
	work.Wait()
}

func checkMost(t *testing.T, f *fleet, rate float64) {
	t.Helper()
	f.stop()
	time.Sleep(10 * time.Second)
	bound := int(testLimits.bound(rate * testLimits.Window.Seconds()))
	most := f.mostInWindow(time.Time{})
	t.Logf("%d requests in a window, %d allowed", most, bound)
	if most > bound {
		t.Errorf("%d requests in a window, %d allowed", most, bound)
	}
}

// Guards against a process that takes over the row of its instance's former one with other Cores, and so
// with another place in the order of an account: a member that has read only the former row counts as
// knowing the instance, and goes on to issue by its former place.
func TestProcessWithOtherCoresKeepsTheBound(t *testing.T) {
	const rate = 20
	for _, isCut := range []bool{true, false} {
		t.Run(fmt.Sprint("cut-", isCut), func(t *testing.T) {
			account := accountWith(t, func(account string) bool {
				return slices.Equal(orderOf(account, 0.2, 1, 1), []int{1, 2, 0}) && slices.Equal(orderOf(account, 4, 1, 1), []int{0, 1, 2})
			})
			synctest.Test(t, func(t *testing.T) {
				f := emptyFleet(3)
				for i, cores := range []float64{0.2, 1, 1} {
					f.startNode(i, "first", cores, f.rows.For(fmt.Sprint("i-", i)))
				}
				time.Sleep(45 * time.Second)
				if isCut {
					// Instance 2 reaches neither the store nor the others, with its lease current.
					f.rows.SetFaults(fakeplatform.RowFaults{Refused: map[string]bool{"i-2": true}})
					for k := range 2 {
						f.setCut(2, k, true)
						f.setCut(k, 2, true)
					}
				}
				f.startNode(0, "second", 4, f.rows.For("i-0"))
				f.demandFor(account, rate, 30*time.Second)
				checkMost(t, f, rate)
			})
		})
	}
}

// heldRows holds back the answer that shows the deletion of the named row.
type heldRows struct {
	storer.Rows
	name string
	// onDeletion is called before the answer is given.
	onDeletion func()
}

func (r *heldRows) Changes(ctx context.Context, table string, after int64, wait time.Duration) (storer.Page, error) {
	page, err := r.Rows.Changes(ctx, table, after, wait)
	if err == nil && slices.ContainsFunc(page.Records, func(x storer.Record) bool { return x.Deleted && x.Name == r.name }) {
		r.onDeletion()
	}
	return page, err
}

// Guards against a confirmation by a row that was deleted: an instance whose row was deleted writes it
// anew, and a member whose table has the former row still confirms it. The read that the member
// has under way brings the deletion, and not the new row.
func TestConfirmationByADeletedRowKeepsTheBound(t *testing.T) {
	const rate = 20
	account := accountWith(t, func(account string) bool { return slices.Equal(orderOf(account, 1, 1, 1), []int{0, 1, 2}) })
	synctest.Test(t, func(t *testing.T) {
		f := emptyFleet(3)
		held := &heldRows{Rows: f.rows.For("i-2"), name: "i-0", onDeletion: func() {
			// The lapsed instance reaches the store again while the answer is on its way, for 900 ms.
			f.rows.SetFaults(fakeplatform.RowFaults{})
			time.Sleep(900 * time.Millisecond)
			f.rows.SetFaults(fakeplatform.RowFaults{Refused: map[string]bool{"i-2": true}})
		}}
		f.startNode(2, "first", 1, held)
		f.startNode(1, "first", 1, f.rows.For("i-1"))
		time.Sleep(400 * time.Millisecond)
		f.startNode(0, "first", 1, f.rows.For("i-0"))
		go f.demandFor(account, rate, 130*time.Second)
		time.Sleep(45 * time.Second)
		f.rows.SetFaults(fakeplatform.RowFaults{Refused: map[string]bool{"i-0": true}})
		time.Sleep(100 * time.Second)
		checkMost(t, f, rate)
	})
}

// scriptedRows is the store as a process sees it that starts while its reads fail.
type scriptedRows struct {
	storer.Rows
	mu sync.Mutex
	// reads and writes count the calls; held is the write that takes effect late.
	reads, writes int
	held          []storer.Change
}

// read refuses all reads but the third one.
func (r *scriptedRows) read() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reads++; r.reads != 3 {
		return storer.ErrUnavailable
	}
	return nil
}

func (r *scriptedRows) List(ctx context.Context, list storer.Range) (storer.Page, error) {
	if err := r.read(); err != nil {
		return storer.Page{}, err
	}
	return r.Rows.List(ctx, list)
}

func (r *scriptedRows) Changes(ctx context.Context, table string, after int64, wait time.Duration) (storer.Page, error) {
	if err := r.read(); err != nil {
		return storer.Page{}, err
	}
	return r.Rows.Changes(ctx, table, after, wait)
}

// Transact lets the first write take effect without an answer, and the third one late. The
// second one is the attempt that brings the conflict.
func (r *scriptedRows) Transact(ctx context.Context, changes []storer.Change) (int64, error) {
	r.mu.Lock()
	r.writes++
	write := r.writes
	if write == 3 {
		r.held = changes
	}
	r.mu.Unlock()
	if write == 3 {
		return 0, storer.ErrInDoubt
	}
	version, err := r.Rows.Transact(ctx, changes)
	if write == 1 {
		return 0, storer.ErrInDoubt
	}
	return version, err
}

// land lets the late write take effect.
func (r *scriptedRows) land(ctx context.Context) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, err := r.Rows.Transact(ctx, r.held)
	return err
}

// writtenRows calls a function after the first write.
type writtenRows struct {
	storer.Rows
	once    sync.Once
	onWrite func()
}

func (r *writtenRows) Transact(ctx context.Context, changes []storer.Change) (int64, error) {
	version, err := r.Rows.Transact(ctx, changes)
	r.once.Do(r.onWrite)
	return version, err
}

// Guards against a row that claims more than its process knows: one that was written before the first
// read, as the second of its process, takes effect after that read. The process relies on the read,
// which shows the row before as its own, and does not have what was written in between.
func TestLateRowOfAProcessThatHadNotReadKeepsTheBound(t *testing.T) {
	const rate = 20
	account := accountWith(t, func(account string) bool { return slices.Equal(orderOf(account, 1, 1, 1), []int{0, 1, 2}) })
	synctest.Test(t, func(t *testing.T) {
		f := emptyFleet(3)
		f.rows.SetFaults(fakeplatform.RowFaults{Delay: time.Millisecond})
		f.startNode(1, "first", 1, f.rows.For("i-1"))
		// The first issuer reads the row of the newcomer 50 ms after it is written.
		time.Sleep(19*time.Second + 850*time.Millisecond)
		late := &scriptedRows{Rows: f.rows.For("i-2")}
		f.startNode(2, "first", 1, late)
		time.Sleep(1100 * time.Millisecond)
		f.startNode(0, "first", 1, &writtenRows{Rows: f.rows.For("i-0"), onWrite: func() {
			if err := late.land(context.Background()); err != nil {
				t.Error(err)
			}
		}})
		f.demandFor(account, rate, 40*time.Second)
		checkMost(t, f, rate)
	})
}

// servedAfter returns the time until a request of the account is granted at one of the instances.
func (f *fleet) servedAfter(account string, limit time.Duration, at ...int) time.Duration {
	start := time.Now()
	for id := 0; time.Since(start) < limit; id++ {
		in := Request{Account: account, Version: 1, Rate: 20, Route: "r", ID: fmt.Sprint(id), IsUnderWay: true}
		if f.request(at[id%len(at)], in, 0).Result == Granted {
			return time.Since(start)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return limit
}

// otherThanBookkeeper returns the indices of four instances but that of the only bookkeeper, and that one.
func otherThanBookkeeper() (others []int, bookkeeper int) {
	order := orderOf("", 1, 1, 1, 1)
	return order[1:], order[0]
}

// startFour starts four instances of the same size, but those left out, and waits until all have a
// long interval between heartbeats but the bookkeeper.
func startFour(leftOut ...int) *fleet {
	f := emptyFleet(4)
	for i := range f.nodes {
		if !slices.Contains(leftOut, i) {
			f.startNode(i, "first", 1, f.rows.For(fmt.Sprint("i-", i)))
		}
	}
	time.Sleep(46 * time.Second)
	return f
}

// Guards against an account without an issuer because an instance joins beside one that was killed: the
// live issuer gives way to the one that joins, which waits until the row of the dead one is deleted.
func TestAccountIsServedIfAnInstanceJoinsBesideADeadOne(t *testing.T) {
	others, bookkeeper := otherThanBookkeeper()
	killed, joining, issuing := others[0], others[1], others[2]
	account := accountWith(t, func(account string) bool {
		return slices.Equal(orderOf(account, 1, 1, 1, 1), []int{killed, joining, issuing, bookkeeper})
	})
	synctest.Test(t, func(t *testing.T) {
		f := startFour(joining)
		f.kill(killed)
		before := f.servedAfter(account, time.Minute, issuing, bookkeeper)
		f.startNode(joining, "first", 1, f.rows.For(fmt.Sprint("i-", joining)))
		time.Sleep(2 * time.Second)
		served := 2*time.Second + f.servedAfter(account, 2*time.Minute, issuing, bookkeeper, joining)
		f.stop()
		time.Sleep(time.Second)
		t.Logf("served %v after the death, and again %v after the join", before, served)
		if served > recoveryTime {
			t.Errorf("served %v after the join, %v allowed", served, recoveryTime)
		}
	})
}

// Guards against an account that is refused after the loss of all instances until the row of one of its
// issuers is deleted, as both stay away.
func TestAccountIsServedAfterTheLossOfBothIssuers(t *testing.T) {
	others, bookkeeper := otherThanBookkeeper()
	account := accountWith(t, func(account string) bool {
		return slices.Equal(orderOf(account, 1, 1, 1, 1), append(slices.Clone(others), bookkeeper))
	})
	synctest.Test(t, func(t *testing.T) {
		f := startFour()
		f.killAll(time.Minute, map[int]bool{others[0]: true, others[1]: true})
		served := f.servedAfter(account, 2*time.Minute, others[2], bookkeeper)
		f.stop()
		time.Sleep(time.Second)
		t.Logf("served %v after the return, 60 s after the loss", served)
		if served > recoveryTime {
			t.Errorf("served %v after the return, %v allowed", served, recoveryTime)
		}
	})
}

// pagedRows reads the list in pages of one row, and calls a function after the first page of a list.
type pagedRows struct {
	storer.Rows
	mu        sync.Mutex
	afterPage func()
}

func (r *pagedRows) arm(afterPage func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.afterPage = afterPage
}

func (r *pagedRows) armed() func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.afterPage
}

// Changes is refused as expired while there is a function to call.
func (r *pagedRows) Changes(ctx context.Context, table string, after int64, wait time.Duration) (storer.Page, error) {
	if r.armed() != nil {
		return storer.Page{}, storer.ErrVersionExpired
	}
	return r.Rows.Changes(ctx, table, after, wait)
}

func (r *pagedRows) List(ctx context.Context, list storer.Range) (storer.Page, error) {
	list.Limit = 1
	page, err := r.Rows.List(ctx, list)
	if call := r.armed(); list.From == "" && err == nil && call != nil {
		r.arm(nil)
		call()
	}
	return page, err
}

// Guards against a list in several pages as if it were of one moment: it shows the deletion of a
// row and not one that was written before that.
func TestListInPagesKeepsTheBound(t *testing.T) {
	const rate = 20
	// Instance 0 joins, 3 leaves, and 2 reads.
	account := accountWith(t, func(account string) bool { return slices.Equal(orderOf(account, 1, 1, 1, 1), []int{1, 0, 3, 2}) })
	synctest.Test(t, func(t *testing.T) {
		f := emptyFleet(4)
		f.rows.SetFaults(fakeplatform.RowFaults{Delay: time.Millisecond})
		paged := &pagedRows{Rows: f.rows.For("i-2")}
		f.startNode(2, "first", 1, paged)
		time.Sleep(200 * time.Millisecond)
		f.startNode(1, "first", 1, f.rows.For("i-1"))
		f.startNode(3, "first", 1, f.rows.For("i-3"))
		time.Sleep(46 * time.Second)
		paged.arm(func() {
			// The list takes 900 ms.
			f.startNode(0, "first", 1, f.rows.For("i-0"))
			time.Sleep(800 * time.Millisecond)
			n := f.node(3)
			_ = n.Deregister(context.Background()) // The count shows whether it had effect.
			n.cancel()
			time.Sleep(50 * time.Millisecond)
			time.AfterFunc(20*time.Millisecond, func() {
				f.rows.SetFaults(fakeplatform.RowFaults{Refused: map[string]bool{"i-2": true}})
			})
		})
		time.Sleep(1500 * time.Millisecond)
		f.demandFor(account, rate, 40*time.Second)
		checkMost(t, f, rate)
	})
}

// queuedRows calls a function before a write takes effect.
type queuedRows struct {
	storer.Rows
	beforeWrite func()
}

func (r *queuedRows) Transact(ctx context.Context, changes []storer.Change) (int64, error) {
	if call := r.beforeWrite; call != nil {
		r.beforeWrite = nil
		call()
	}
	return r.Rows.Transact(ctx, changes)
}

// Guards against a heartbeat that is under way at a planned stop and writes the row anew after it was
// deleted: the instance remains an issuer for others until the row lapses.
func TestHeartbeatUnderWayAtAPlannedStopLeavesNoRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := fakeplatform.NewRows(1)
		queued := &queuedRows{Rows: rows.For("i-0")}
		leaving, other := discoverer.New(memberWithCores(0, 1), queued), discoverer.New(memberWithCores(1, 1), rows.For("i-1"))
		for _, d := range []*discoverer.Discoverer{leaving, other} {
			if _, err := d.Join(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(6 * time.Second)
		queued.beforeWrite = func() {
			if err := leaving.Deregister(t.Context()); err != nil {
				t.Error(err)
			}
		}
		_ = leaving.WriteHeartbeat(t.Context()) // It may fail, as the instance leaves.
		if _, _, err := other.Refresh(t.Context()); err != nil {
			t.Fatal(err)
		}
		if others := other.Rows().Others; len(others) != 0 {
			t.Errorf("the row of an instance that has left remains: %v", others)
		}
	})
}
