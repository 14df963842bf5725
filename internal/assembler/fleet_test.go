package assembler_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/assembler"
	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/configurer"
	"github.com/wigeonstand/wigeonstand/internal/fakeengine"
	"github.com/wigeonstand/wigeonstand/internal/fakeplatform"
	"github.com/wigeonstand/wigeonstand/internal/fakeservice"
	"github.com/wigeonstand/wigeonstand/internal/publisher"
	"github.com/wigeonstand/wigeonstand/internal/storer"
	"github.com/wigeonstand/wigeonstand/pkg/caller"
)

const (
	callerKey   = "host-key"
	platformKey = "platform-key"
	fleetSize   = 3
	// unloadedEngine is the engine that starts without its model and ignores fencing numbers.
	unloadedEngine = 1
	leaseTTL       = 3 * time.Second
)

var (
	platformAddress = netip.MustParseAddrPort("127.0.0.1:7000")
	engineAddresses = []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:7100"), netip.MustParseAddrPort("127.0.0.1:7101")}
	serviceAddress  = netip.MustParseAddrPort("127.0.0.1:7200")
)

// fleet runs three instances, a platform, engines and a service in one process,
// connected by a memoryNetwork.
type fleet struct {
	t         *testing.T
	ctx       context.Context
	stop      context.CancelFunc
	work      sync.WaitGroup
	network   *memoryNetwork
	platform  *fakeplatform.Platform
	engines   []*fakeengine.Engine
	service   *fakeservice.Service
	instances []*instance
	logs      io.Writer
}

// instance is a running instance; stop shuts it down gracefully and kill at once.
type instance struct {
	stop context.CancelFunc
	kill context.CancelFunc
	done chan struct{}
}

func newFleet(t *testing.T, logs io.Writer) *fleet {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	f := &fleet{t: t, ctx: ctx, stop: stop, network: newMemoryNetwork(), instances: make([]*instance, fleetSize), logs: logs}
	f.platform = fakeplatform.New()
	f.serve("platform", platformAddress, f.platform.Handler(platformKey))
	for n, address := range engineAddresses {
		options := []fakeengine.Option{fakeengine.WithModels("songbird")}
		if n == unloadedEngine {
			options = []fakeengine.Option{fakeengine.WithoutFenceCheck()}
		}
		engine := fakeengine.New(fmt.Sprintf("engine-%d", n), options...)
		f.engines = append(f.engines, engine)
		f.work.Go(func() { engine.Run(ctx) })
		f.serve(fmt.Sprintf("engine-%d", n), address, engine.Handler())
	}
	f.service = fakeservice.New("fees")
	f.serve("fees", serviceAddress, f.service.Handler())
	f.publish()
	for n := range f.instances {
		f.start(n)
	}
	return f
}

func (f *fleet) serve(name string, address netip.AddrPort, handler http.Handler) {
	listener, err := host{f.network, name}.Listen(address)
	if err != nil {
		f.t.Fatal(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	f.work.Go(func() { _ = server.Serve(listener) })
	f.work.Go(func() {
		<-f.ctx.Done()
		_ = server.Close()
	})
}

func (f *fleet) publish() {
	text := strings.ReplaceAll(fleetDocument, "HASH", compiler.HashKey(callerKey))
	document, _, err := compiler.Split("document.yaml", []byte(text))
	if err != nil {
		f.t.Fatal(err)
	}
	apply := publisher.Apply{Request: publisher.Request{Operator: "test", EditID: "first"}}
	for _, section := range document.Sections {
		if section.Text != "" {
			apply.Sections = append(apply.Sections, publisher.SectionEdit{Section: section.Name, Text: section.Text})
		}
	}
	if _, err := publisher.New(f.platform, f.platform).Apply(f.ctx, apply); err != nil {
		f.t.Fatal(err)
	}
}

func instanceName(n int) string { return fmt.Sprintf("ee-tln-%d", n) }

func address(kind, n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(8000+100*kind+n))
}

func (f *fleet) settings(n int) *configurer.Settings {
	s := configurer.DefaultSettings()
	key := filepath.Join(f.t.TempDir(), "platform.secret")
	if err := os.WriteFile(key, []byte(platformKey), 0o600); err != nil {
		f.t.Fatal(err)
	}
	s.Instance = instanceName(n)
	s.DataCentre = "ee-tln"
	s.CallerListen, s.OperatorListen, s.PeerListen, s.AdminListen = address(0, n), address(1, n), address(2, n), address(3, n)
	s.Platform = configurer.Platform{Address: platformAddress, KeyFile: key}
	insecure := configurer.TLS{Insecure: true}
	s.CallerTLS, s.OperatorTLS, s.PeerTLS, s.EndpointTLS = insecure, insecure, insecure, insecure
	s.Lease = configurer.Lease{TTL: leaseTTL, Renew: leaseTTL / 3}
	s.Store.ShareOf = fleetSize
	s.Document.PollInterval = time.Second
	s.DrainTimeout = 20 * time.Second
	return s
}

// start starts instance n, which must not be running.
func (f *fleet) start(n int) {
	f.platform.Register(storer.Listing{Instance: instanceName(n), Address: address(2, n).String(), DataCentre: "ee-tln"})
	ctx, stop := context.WithCancel(f.ctx)
	baseCtx, kill := context.WithCancel(context.Background())
	in := &instance{stop: stop, kill: kill, done: make(chan struct{})}
	settings := f.settings(n)
	f.work.Go(func() {
		defer close(in.done)
		network := host{f.network, settings.Instance}
		err := assembler.Run(ctx, settings, f.logs, assembler.WithNetwork(network), assembler.WithBaseContext(baseCtx))
		if err != nil && baseCtx.Err() == nil {
			f.t.Errorf("instance %d: %v", n, err)
		}
	})
	f.instances[n] = in
}

// kill stops the instance at once and removes it from the network.
func (f *fleet) kill(n int) {
	f.instances[n].kill()
	f.network.removeHost(instanceName(n))
	<-f.instances[n].done
	f.instances[n].stop()
	f.instances[n] = nil
}

// drain shuts the instance down gracefully.
func (f *fleet) drain(n int) {
	f.instances[n].stop()
	<-f.instances[n].done
	f.network.removeHost(instanceName(n))
	f.instances[n].kill()
	f.instances[n] = nil
}

// close stops all instances, the fakes and the network.
func (f *fleet) close() {
	for n, in := range f.instances {
		if in != nil {
			f.kill(n)
		}
	}
	f.stop()
	f.network.close()
	f.work.Wait()
}

// client returns a client of instance n, or of all instances if n is negative. It
// retries requests that were not run.
func (f *fleet) client(n int) *caller.Client { return f.clientWithAttempts(n, 200) }

// clientWithoutRetries returns a client of instance n that sends each request once.
func (f *fleet) clientWithoutRetries(n int) *caller.Client { return f.clientWithAttempts(n, 1) }

func (f *fleet) clientWithAttempts(n, attempts int) *caller.Client {
	transport := &http.Transport{DialContext: host{f.network, "caller"}.DialContext, IdleConnTimeout: time.Second}
	var addresses []string
	for i := range fleetSize {
		if n < 0 || n == i {
			addresses = append(addresses, "http://"+address(0, i).String())
		}
	}
	client, err := caller.New(addresses, callerKey, caller.WithHTTPClient(&http.Client{Transport: transport}),
		caller.WithTimeout(time.Minute), caller.WithAttempts(attempts))
	if err != nil {
		f.t.Fatal(err)
	}
	return client
}

const fleetDocument = `
Businesses:
  - {Name: laulukaar, Weight: 1, RetryShare: 0.5, KeyHashes: [HASH]}
Agents:
  - Business: laulukaar
    Name: lyric-editor
    Model: songbird
    Instructions: Correct lyric lines.
    MaxTurns: 100
    MaxOutput: 30
    MaxHistory: 100000
    WallLimit: 8h
    IdleTimeout: 2h
Budgets:
  - {Business: laulukaar, Tokens: 100000000}
  - {Business: laulukaar, Agent: lyric-editor, Tokens: 20000}
Endpoints:
  - {Name: engine-0, Address: "127.0.0.1:7100", DataCentre: ee-tln, Models: [songbird], Slots: 8, CacheTokens: 20000}
  - {Name: engine-1, Address: "127.0.0.1:7101", DataCentre: ee-tln, Models: [songbird], Slots: 8, CacheTokens: 20000}
  - {Name: fees-0, Address: "127.0.0.1:7200", DataCentre: ee-tln, Service: fee-posting, Slots: 8}
Services:
  - {Name: fee-posting, Business: laulukaar, Timeout: 5s}
`

// logWriter discards logs unless FLEET_LOGS is set.
func logWriter() io.Writer {
	if os.Getenv("FLEET_LOGS") != "" {
		return os.Stderr
	}
	return io.Discard
}
