// Command harness plays the scripts of the review: it starts entries as separate processes, with
// the command and the settings template of the deploy file, beside stand-ins of the platform's
// store, the replicas and the clients, all on loopback addresses.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/fakeplatform"
	"github.com/wigeonstand/wigeonstand/internal/storer"
	"github.com/wigeonstand/wigeonstand/platform/standin"
)

// The exits of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// errSetup means that a case could not run.
var errSetup = errors.New("the case could not run")

// world is a small deployment.
type world struct {
	binary, template, folder string
	begin                    time.Time
	rows                     *fakeplatform.Rows
	instances                []*instance
	endpoints                []*standin.Endpoint

	mu     sync.Mutex
	record *os.File
}

func newWorld(binary, template, record string) (*world, error) {
	text, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	return &world{
		binary: binary, template: string(text), folder: folder, record: file, begin: time.Now(), rows: fakeplatform.NewRows(1),
	}, nil
}

// log writes a line of the record.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.begin).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes of the world.
func (w *world) close() {
	for _, in := range w.instances {
		in.kill()
	}
	_ = w.record.Close()
	_ = os.RemoveAll(w.folder)
}

// serve serves the handler on a free port of the address.
func serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String(), nil
}

// route is a route of the configuration.
type route map[string]any

// configure writes the configuration.
func (w *world) configure(version int, routes []route, services []map[string]any) error {
	value, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
	})
	if err != nil {
		return err
	}
	w.rows.Put(storer.RowKey{Table: "op", Name: "config"}, value)
	return nil
}

// register writes the registration of a replica.
func (w *world) register(id, service, address, zone, state string, slots int, born int64, sequence int) error {
	value, err := json.Marshal(map[string]any{
		"service": service, "address": address, "zone": zone, "version": "v1", names["slots"]: slots,
		"state": state, names["cold"]: 0, "sequence": sequence, "born": born,
	})
	if err != nil {
		return err
	}
	w.rows.Put(storer.RowKey{Table: "servers", Name: id}, value)
	return nil
}

// instance is one machine with its process.
type instance struct {
	*world
	name, zone, host      string
	frontend, ready, peer int
	settings              string

	mu       sync.Mutex
	command  *exec.Cmd
	ended    chan struct{}
	starts   int
	touched  time.Time
	misses   int
	isListed bool
	// store is the machine's link to the store.
	store *link
}

// addInstances adds the machines of the zones, given as the number in each.
func (w *world) addInstances(zones map[string]int, names []string) error {
	a, b := 64+rand.IntN(60), 1+rand.IntN(250)
	frontend, ready, peer := 8149, 8141, 8144
	for _, zone := range names {
		for i := range zones[zone] {
			in := &instance{
				world: w, name: fmt.Sprintf("edge-%s-%d", zone, i+1), zone: zone,
				host: fmt.Sprintf("127.%d.%d.%d", a, b, len(w.instances)+1), frontend: frontend, ready: ready, peer: peer,
			}
			for _, port := range []int{frontend, ready, peer, 7381} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", in.host, port))
				if err != nil {
					return errors.Join(errSetup, err)
				}
				_ = l.Close()
			}
			w.instances = append(w.instances, in)
		}
	}
	var seeds []string
	for _, zone := range names {
		for _, in := range w.instances {
			if in.zone == zone && len(seeds) < 3 {
				seeds = append(seeds, fmt.Sprintf("%s:%d", in.host, peer))
				break
			}
		}
	}
	for _, in := range w.instances {
		store, err := serve(standin.NewStore(w.rows.For(in.name)))
		if err != nil {
			return err
		}
		if in.store, err = newLink(store); err != nil {
			return err
		}
		in.settings = filepath.Join(w.folder, in.name+".yaml")
		if err := os.WriteFile(in.settings, []byte(in.render(in.store.address(), seeds)), 0o600); err != nil {
			return err
		}
	}
	return nil
}

var (
	seedSection  = regexp.MustCompile(`\{\{#seed_nodes\}\}.*?\{\{/seed_nodes\}\}`)
	otherSection = regexp.MustCompile(`(?s)\{\{[#^]([a-z_.]+)\}\}.*?\{\{/[a-z_.]+\}\}`)
)

// render fills the settings template as the platform does for laulukaar-stand, which has no
// bounds for revocations and quotas, and whose store has transactions over several partitions.
func (in *instance) render(store string, seeds []string) string {
	quoted := make([]string, 0, len(seeds))
	for _, s := range seeds {
		quoted = append(quoted, `"`+s+`"`)
	}
	text := seedSection.ReplaceAllString(in.template, strings.Join(quoted, ","))
	text = otherSection.ReplaceAllString(text, "")
	address := func(port int) string { return fmt.Sprintf("%s:%d", in.host, port) }
	return strings.NewReplacer(
		"{{node_name}}", in.name, "{{zone}}", in.zone, "{{ip_address}}", in.host,
		"{{listen_addresses.frontend}}", address(in.frontend), "{{listen_addresses.ready}}", address(in.ready),
		"{{listen_addresses.control_plane}}", address(in.peer), "{{platform.address}}", store,
		"{{limits.memory_mb}}", "154", "{{limits.cpu_cores}}", "1", "{{limits.cpu_fraction}}", "0.8",
		"{{bounds.grace_period_s}}", "8", "{{platform.writes_per_s}}", "800",
	).Replace(text)
}

// start starts the process, with the line run of the deploy file.
func (in *instance) start() error {
	in.mu.Lock()
	defer in.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(in.folder, in.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(in.binary, "entry", "-f", in.settings)
	command.Env = append(os.Environ(), fmt.Sprintf("WIGEONSTAND_FIRST_START=%t", in.starts == 0))
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return errors.Join(errSetup, err)
	}
	ended := make(chan struct{})
	in.command, in.ended, in.touched = command, ended, time.Now()
	in.starts++
	in.log("%s starts, process %d", in.name, command.Process.Pid)
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	return nil
}

// signal sends the signal to the process that this harness started.
func (in *instance) signal(s syscall.Signal) <-chan struct{} {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.command == nil {
		return nil
	}
	select {
	case <-in.ended:
	default:
		_ = in.command.Process.Signal(s)
		in.touched = time.Now()
		in.log("%s gets signal %d", in.name, s)
	}
	return in.ended
}

func (in *instance) kill() {
	if ended := in.signal(syscall.SIGKILL); ended != nil {
		<-ended
	}
}

// isCalm reports whether nothing was done to the machine for the stable window.
func (in *instance) isCalm() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return time.Since(in.touched) > stableWindow
}

// stableWindow is stable_window_ms of the site.
const stableWindow = 3 * time.Second

// startAll starts all machines and waits until the balancer has listed them.
func (w *world) startAll(ctx context.Context) error {
	for _, in := range w.instances {
		if err := in.start(); err != nil {
			return err
		}
	}
	go w.balance(ctx)
	return w.awaitListed(15 * time.Second)
}

func (w *world) awaitListed(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		listed := 0
		for _, in := range w.instances {
			in.mu.Lock()
			if in.isListed {
				listed++
			}
			in.mu.Unlock()
		}
		if listed == len(w.instances) {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%w: the instances were not ready after %v", errSetup, limit)
}

// balance asks each machine once a second whether it is ready. After two misses it gets no new
// connections until it answers with 200 again.
func (w *world) balance(ctx context.Context) {
	client := &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		for _, in := range w.instances {
			go func() {
				response, err := client.Get(fmt.Sprintf("http://%s:%d/readiness", in.host, in.ready))
				isReady := err == nil && response.StatusCode == http.StatusOK
				if err == nil {
					_ = response.Body.Close()
				}
				in.mu.Lock()
				defer in.mu.Unlock()
				if isReady {
					in.misses, in.isListed = 0, true
				} else if in.misses++; in.misses >= 2 {
					in.isListed = false
				}
			}()
		}
		time.Sleep(time.Second)
	}
}

// pick returns a machine that gets new connections, one in the zone if there is any, and not one
// of those already tried if there is another one.
func (w *world) pick(zone string, tried map[string]bool) *instance {
	var best []*instance
	for _, conditions := range []int{2, 1, 0} {
		for _, in := range w.instances {
			in.mu.Lock()
			listed := in.isListed
			in.mu.Unlock()
			if listed && (conditions < 1 || !tried[in.name]) && (conditions < 2 || in.zone == zone) {
				best = append(best, in)
			}
		}
		if len(best) > 0 {
			return best[rand.IntN(len(best))]
		}
	}
	return w.instances[rand.IntN(len(w.instances))]
}
