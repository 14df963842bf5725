package composer_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/composer"
	"github.com/wigeonstand/wigeonstand/internal/configurer"
	"github.com/wigeonstand/wigeonstand/internal/fakeplatform"
	"github.com/wigeonstand/wigeonstand/internal/storer"
	"github.com/wigeonstand/wigeonstand/internal/watcher"
	"github.com/wigeonstand/wigeonstand/platform"
	"github.com/wigeonstand/wigeonstand/platform/standin"
)

// fleet is a set of instances on loopback with stand-ins for the store and the
// endpoints.
type fleet struct {
	t         *testing.T
	rows      *fakeplatform.Rows
	engines   []*standin.Endpoint
	services  []*standin.Endpoint
	instances []*instance
	client    *http.Client
	log       *sharedLog
	grace     time.Duration
	// options returns the options of an instance; nil for none.
	options func(instance string) []composer.Option
	// registrations are those of the endpoints, by ID.
	registrations map[string]standin.Registration
}

// platformGrace is the grace period of the platform, shortGrace that of tests that
// do not check how an instance stops.
const (
	platformGrace = 8 * time.Second
	shortGrace    = 1500 * time.Millisecond
)

// sharedLog collects the log lines of all instances.
type sharedLog struct {
	mu   sync.Mutex
	text []byte
}

// Write implements io.Writer.
func (l *sharedLog) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text = append(l.text, b...)
	return len(b), nil
}

func (l *sharedLog) bytes() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.text)
}

// withoutServed returns the lines but those of served requests.
func (l *sharedLog) withoutServed() string {
	var out strings.Builder
	for line := range strings.Lines(string(l.bytes())) {
		if !strings.Contains(line, `"RequestServed"`) {
			out.WriteString(line)
		}
	}
	return out.String()
}

type instance struct {
	name     string
	settings *configurer.EntrySettings
	cancel   context.CancelFunc
	ended    chan error
}

func newFleet(t *testing.T, instances, engines, services int) *fleet {
	t.Helper()
	return newFleetWithGrace(t, shortGrace, instances, engines, services)
}

func newFleetWithGrace(t *testing.T, grace time.Duration, instances, engines, services int) *fleet {
	t.Helper()
	f := &fleet{t: t, rows: fakeplatform.NewRows(1), client: &http.Client{Transport: &http.Transport{}}, log: &sharedLog{}, grace: grace, registrations: map[string]standin.Registration{}}
	t.Cleanup(f.client.CloseIdleConnections)
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("log of the instances, without served requests:\n%s", f.log.withoutServed())
		}
	})
	for i := range engines {
		e := standin.NewEndpoint(fmt.Sprintf("engine-%d", i), 5, 10*time.Millisecond, uint64(i))
		f.engines = append(f.engines, e)
		f.register(e, standin.ServiceEngine)
	}
	for i := range services {
		e := standin.NewEndpoint(fmt.Sprintf("service-%d", i), 0, 5*time.Millisecond, uint64(100+i))
		f.services = append(f.services, e)
		f.register(e, standin.ServicePlain)
	}
	if err := standin.WriteConfiguration(f.rows, 1); err != nil {
		t.Fatal(err)
	}
	for i := range instances {
		f.instances = append(f.instances, f.start(fmt.Sprintf("entry-%d", i)))
	}
	for _, in := range f.instances {
		f.awaitReady(in)
	}
	return f
}

func (f *fleet) register(e *standin.Endpoint, service string) { f.registerVersion(e, service, "") }

// registerVersion registers the endpoint with a version of its software.
func (f *fleet) registerVersion(e *standin.Endpoint, service, version string) {
	f.t.Helper()
	f.registerHandler(e, standin.Registration{ID: e.ID, Service: service, Slots: e.Slots, Version: version})
}

// registerHandler serves the handler on a free address and registers it there.
func (f *fleet) registerHandler(handler http.Handler, r standin.Registration) {
	f.t.Helper()
	server := httptest.NewServer(handler)
	f.t.Cleanup(server.Close)
	r.Address, r.DataCentre = netip.MustParseAddrPort(server.Listener.Addr().String()), "dc-1"
	f.registrations[r.ID] = r
	if err := standin.Register(f.rows, r); err != nil {
		f.t.Fatal(err)
	}
}

// setDraining registers the endpoint again, as draining or as ready.
func (f *fleet) setDraining(e *standin.Endpoint, isDraining bool) {
	f.t.Helper()
	r := f.registrations[e.ID]
	r.Draining = isDraining
	if err := standin.Register(f.rows, r); err != nil {
		f.t.Fatal(err)
	}
}

// hostCount numbers the loopback addresses of instances. Together with the process
// ID in the address it prevents port conflicts with other test processes.
var hostCount atomic.Uint32

// uniqueAddresses returns n addresses on an unused loopback host.
func uniqueAddresses(n int) []netip.AddrPort {
	host, process := hostCount.Add(1), os.Getpid()
	var addresses []netip.AddrPort
	for i := range n {
		ip := netip.AddrFrom4([4]byte{127, byte(64 + process%64), byte(process >> 6), byte(host)})
		addresses = append(addresses, netip.AddrPortFrom(ip, uint16(7101+i)))
	}
	return addresses
}

// start starts an instance with its own connection to the store.
func (f *fleet) start(name string) *instance {
	f.t.Helper()
	return f.startWithSeeds(name)
}

// startWithSeeds starts an instance that is configured with seeds.
func (f *fleet) startWithSeeds(name string, seeds ...netip.AddrPort) *instance {
	f.t.Helper()
	return f.startWithSettings(name, func(s *settings) { s.Seeds = seeds })
}

type settings = configurer.EntrySettings

func (f *fleet) startWithSettings(name string, set func(*settings)) *instance {
	f.t.Helper()
	store := httptest.NewServer(standin.NewStore(f.rows.For(name)))
	f.t.Cleanup(store.Close)
	addresses := uniqueAddresses(4)
	settings := configurer.DefaultEntrySettings()
	settings.Instance, settings.DataCentre = name, "dc-1"
	settings.CallerListen, settings.ReadyListen = addresses[0], addresses[1]
	settings.PeerListen, settings.AdminListen = addresses[2], addresses[3]
	settings.PeerAddress = settings.PeerListen
	settings.StoreAddress = netip.MustParseAddrPort(store.Listener.Addr().String())
	settings.GracePeriod = f.grace
	set(settings)
	return f.launch(settings)
}

func (f *fleet) launch(settings *configurer.EntrySettings) *instance {
	f.t.Helper()
	rows := platform.NewStore(settings.StoreAddress)
	entry, err := composer.New(settings, composer.Platform{
		Rows: rows, Dialect: platform.Dialect{}, Source: watcher.Source{
			ConfigurationKey: storer.RowKey{Table: platform.TableConfiguration, Name: platform.KeyConfiguration},
			EndpointTable:    platform.TableEndpoints,
			DecodeTable:      platform.DecodeConfiguration, DecodeEndpoint: platform.DecodeEndpoint,
		},
	}, f.log, f.optionsOf(settings.Instance)...)
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	in := &instance{name: settings.Instance, settings: settings, cancel: cancel, ended: make(chan error, 1)}
	go func() {
		defer rows.Close()
		in.ended <- entry.Run(ctx, nil, nil)
	}()
	f.t.Cleanup(func() { f.stop(in) })
	return in
}

func (f *fleet) optionsOf(instance string) []composer.Option {
	if f.options == nil {
		return nil
	}
	return f.options(instance)
}

// stop stops the instance gracefully and waits for its end.
func (f *fleet) stop(in *instance) {
	in.cancel()
	if err, first := <-in.ended; first {
		if err != nil {
			f.t.Errorf("%s: %v", in.name, err)
		}
		close(in.ended)
	}
}

func (f *fleet) isReady(in *instance) bool {
	response, err := http.Get("http://" + in.settings.ReadyListen.String() + "/") //nolint:noctx // It ends with the test.
	if err != nil {
		return false
	}
	_ = response.Body.Close() // Only the status is used.
	return response.StatusCode == http.StatusOK
}

func (f *fleet) awaitReady(in *instance) {
	f.await(in.name+" is ready", func() bool { return f.isReady(in) })
}

func (f *fleet) await(what string, holds func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !holds() {
		if time.Now().After(deadline) {
			f.t.Fatalf("not within 10 s: %s", what)
		}
		<-time.After(20 * time.Millisecond)
	}
}

func (f *fleet) do(in *instance, c standin.Call) standin.Reply {
	if c.Method == "" {
		c.Method = http.MethodPost
	}
	if c.Deadline == 0 {
		c.Deadline = 5 * time.Second
	}
	c.Host = standin.Host
	return standin.Do(f.t.Context(), f.client, in.settings.CallerListen.String(), c)
}

// doUntilAccepted sends the call until it is not refused, like callers that retry:
// on a loaded host a turn may wait too long for the store.
func (f *fleet) doUntilAccepted(in *instance, c standin.Call) standin.Reply {
	f.t.Helper()
	var reply standin.Reply
	f.await(c.ID+" is accepted", func() bool {
		reply = f.do(in, c)
		return !reply.IsNotRun()
	})
	return reply
}

func turnCall(id, program, previous, body string) standin.Call {
	return standin.Call{
		ID: id, Path: standin.PathRetained + "x", Body: body, Program: program, Budget: 2000, MaxTokens: 100, Previous: previous,
	}
}

// The store refuses keys of more than 200 bytes, and IDs of callers are keys. The pages set no limit
// on IDs; turns with longer ones ran and were not recorded, or were never accepted.
func TestTurnsWithLongIDsAreServed(t *testing.T) {
	t.Parallel()
	for name, more := range map[string]string{"long": strings.Repeat("x", 300), "no text": "\xff\xfe"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 1, 1, 0)
			first := f.doUntilAccepted(f.instances[0], turnCall("first"+more, "p"+more, "", "one\n"))
			if diff := cmp.Diff(http.StatusOK, first.Status); diff != "" {
				t.Fatalf("%+v: %s", first, diff)
			}
			second := f.doUntilAccepted(f.instances[0], turnCall("second"+more, "p"+more, "first"+more, "two\n"))
			body, _ := f.executedBody("second" + more)
			if diff := cmp.Diff("one\n"+first.EventData()+"two\n", body); diff != "" {
				t.Errorf("%+v: %s", second, diff)
			}
			// IDs that differ in their last byte are different ones.
			other := f.doUntilAccepted(f.instances[0], turnCall("third"+more, "p"+more, "first"+more+"y", "three\n"))
			if diff := cmp.Diff(http.StatusNotFound, other.Status); diff != "" {
				t.Errorf("%+v: %s", other, diff)
			}
		})
	}
}

// executedBody returns the body of the request that an engine ran.
func (f *fleet) executedBody(id string) (string, bool) {
	for _, e := range f.engines {
		if runs := e.Runs(id); len(runs) > 0 {
			return runs[0].Body, true
		}
	}
	return "", false
}

// runConcurrently calls f for 0 to n-1 concurrently and waits for all calls.
func runConcurrently(n int, f func(i int)) {
	var work sync.WaitGroup
	for i := range n {
		work.Go(func() { f(i) })
	}
	work.Wait()
}

func endpointRow(id string) storer.RowKey {
	return storer.RowKey{Table: platform.TableEndpoints, Name: id}
}
