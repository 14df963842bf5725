// Command cases plays the cases of this review that are scripts. It starts entries of the project as
// separate processes with the command of the deploy file, on loopback addresses, beside stand-ins of
// the platform's store, its endpoints and its callers, which run in this process.
package main

import (
	"context"
	"encoding/json"
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

// The figures of the site binfold-hq that the cases use.
const (
	host          = "ficu95.example"
	heartbeat     = 1200 * time.Millisecond
	stableWindow  = 3 * time.Second
	storeDelay    = 4 * time.Millisecond
	chunkTokens   = 12
	engineSlots   = 16
	serviceSlots  = 6
	engineService = "agent-stand"
	plainService  = "docket-app"
)

// world is one deployment with its stand-ins.
type world struct {
	ctx       context.Context
	root      string // of the repository
	folder    string // of settings and logs
	subnet    string
	rows      *fakeplatform.Rows
	instances []*instance
	random    *rand.Rand

	mu      sync.Mutex
	record  *os.File
	started time.Time
	version int
	next    int
	isAway  bool
}

func newWorld(ctx context.Context, root, recordFile string) (*world, error) {
	folder, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	seed := uint64(time.Now().UnixNano())
	w := &world{
		ctx: ctx, root: root, folder: folder, rows: fakeplatform.NewRows(seed), record: record, started: time.Now(),
		random: rand.New(rand.NewPCG(seed, 1)),
	}
	w.subnet = fmt.Sprintf("127.%d.%d", 64+os.Getpid()%60, 1+w.random.IntN(250))
	w.rows.SetFaults(fakeplatform.RowFaults{Delay: storeDelay})
	return w, nil
}

// log writes a line to the record.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) end() {
	for _, in := range w.instances {
		in.kill()
	}
	w.record.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(w.folder)
	} else {
		fmt.Println("logs are in", w.folder)
	}
}

// newID returns a new ID in hexadecimal, as callers use them.
func (w *world) newID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("%016x", w.random.Uint64())
}

// address returns a new loopback address of this world.
func (w *world) address() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next++
	return fmt.Sprintf("%s.%d", w.subnet, w.next)
}

// configure writes the operator's configuration with a new version.
func (w *world) configure(routes ...map[string]any) error {
	w.mu.Lock()
	w.version += 3
	version := w.version
	w.mu.Unlock()
	value, err := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": engineService, "health_path": "/health", "max_connections": 170, "protocol": "h1", "tls_enabled": false, "runtime": map[string]any{
				names["slots"]: engineSlots, "kv_cache_tokens": 182071, "kv_token_bytes": 18432, names["chunk"]: chunkTokens,
			}},
			{"name": plainService, "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls_enabled": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		return err
	}
	w.rows.Put(storer.RowKey{Table: "op", Name: "config"}, value)
	w.log("operator: configuration %d acknowledged", version)
	return nil
}

func streamRoute(name, prefix string, overrides map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "hostname": host, "prefix": prefix, "type": "streaming", "timeout_ms": 3000, "target_latency_ms": 200,
		"priority": 0, "service": engineService, names["attempts"]: 1, names["kept"]: false, "retention_s": 60.0,
		"session_affinity": true, "resumable": false, "target_gap_ms": 200,
	}
	for k, v := range overrides {
		r[k] = v
	}
	return r
}

func plainRoute(name, prefix, kind string) map[string]any {
	return map[string]any{
		"name": name, "hostname": host, "prefix": prefix, "type": kind, "timeout_ms": 3000, "target_latency_ms": 500,
		"priority": 2, "service": plainService, names["attempts"]: 1,
	}
}

// instance is one machine of the system with its process.
type instance struct {
	*world
	name, ip, zone string
	file           string
	store          string

	process sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	starts  int
}

func (in *instance) frontend() string { return in.ip + ":8149" }

// addInstance adds a machine of the zone, whose process is not started yet.
func (w *world) addInstance(name, zone string) (*instance, error) {
	in := &instance{world: w, name: name, zone: zone, ip: w.address()}
	in.file = filepath.Join(w.folder, name+".yaml")
	server := &http.Server{Handler: standin.NewStore(w.rows.For(name))}
	listener, err := net.Listen("tcp", in.ip+":8142")
	if err != nil {
		return nil, err
	}
	in.store = listener.Addr().String()
	go server.Serve(listener)
	w.instances = append(w.instances, in)
	return in, nil
}

// settings writes the settings file from the template of the deploy file.
func (in *instance) settings() error {
	text, err := os.ReadFile(filepath.Join(in.root, "deploy/entry.yaml.tmpl"))
	if err != nil {
		return err
	}
	var seeds []any
	for _, other := range in.instances[:min(3, len(in.instances))] {
		seeds = append(seeds, other.ip+":8144")
	}
	fields := map[string]any{
		"node_name": in.name, "zone": in.zone, "ip_address": in.ip,
		"listen_addresses": map[string]any{"frontend": in.frontend(), "ready": in.ip + ":8141", "control_plane": in.ip + ":8144"},
		"seed_nodes":       seeds,
		"platform":         map[string]any{"address": in.store, "writes_per_s": 800, "cross_partition": true},
		"limits":           map[string]any{"memory_mb": 304, "cpu_cores": 1, "cpu_fraction": 0.8},
		"bounds":           map[string]any{"grace_period_s": 8},
	}
	return os.WriteFile(in.file, []byte(render(string(text), fields, nil)), 0o600)
}

var (
	section = regexp.MustCompile(`(?s)\{\{([#^])([a-z_.]+)\}\}`)
	value   = regexp.MustCompile(`\{\{([a-z_.]+)\}\}`)
)

// render fills in a template as DEPLOY tells, as far as the project's template uses it.
func render(text string, fields map[string]any, current any) string {
	for {
		at := section.FindStringSubmatchIndex(text)
		if at == nil {
			break
		}
		kind, name := text[at[2]:at[3]], text[at[4]:at[5]]
		closing := "{{/" + name + "}}"
		end := strings.Index(text[at[1]:], closing) + at[1]
		inner, found := text[at[1]:end], lookUp(fields, name)
		var out strings.Builder
		list, isList := found.([]any)
		isTrue := found != nil && found != false
		switch {
		case kind == "^" && !isTrue:
			out.WriteString(inner)
		case kind == "#" && isList:
			for i, one := range list {
				comma := ","
				if i == len(list)-1 {
					comma = ""
				}
				part := strings.ReplaceAll(strings.ReplaceAll(inner, "{{,}}", comma), "{{.}}", fmt.Sprint(one))
				out.WriteString(part)
			}
		case kind == "#" && isTrue:
			out.WriteString(inner)
		}
		text = text[:at[0]] + out.String() + text[end+len(closing):]
	}
	return value.ReplaceAllStringFunc(text, func(m string) string {
		if found := lookUp(fields, m[2:len(m)-2]); found != nil {
			return fmt.Sprint(found)
		}
		return ""
	})
}

func lookUp(fields map[string]any, name string) any {
	var at any = fields
	for _, part := range strings.Split(name, ".") {
		table, ok := at.(map[string]any)
		if !ok {
			return nil
		}
		at = table[part]
	}
	return at
}

// runLine returns the line run of the role entry in the deploy file.
func (w *world) runLine() []string {
	text, _ := os.ReadFile(filepath.Join(w.root, "deploy/system.toml"))
	m := regexp.MustCompile(`(?m)^run = "([^"]+)"`).FindStringSubmatch(string(text))
	return strings.Fields(m[1])
}

// start starts the process.
func (in *instance) start() error {
	in.process.Lock()
	defer in.process.Unlock()
	if err := in.settings(); err != nil {
		return err
	}
	words := in.runLine()
	for i, word := range words {
		if word == "/etc/wigeonstand/node.yaml" {
			words[i] = in.file
		}
	}
	log, err := os.OpenFile(filepath.Join(in.folder, in.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(filepath.Join(in.root, words[0]), words[1:]...)
	command.Dir, command.Stdout, command.Stderr = in.root, log, log
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "WIGEONSTAND_CONFIG=" + in.file, fmt.Sprintf("WIGEONSTAND_FIRST_START=%t", in.starts == 0 && time.Since(in.world.started) < 2*time.Second)}
	if err := command.Start(); err != nil {
		return err
	}
	in.starts++
	ended := make(chan struct{})
	in.command, in.ended = command, ended
	go func() {
		command.Wait()
		in.log("%s: process ended: %s", in.name, command.ProcessState)
		close(ended)
	}()
	in.log("%s: process started in %s", in.name, in.zone)
	return nil
}

// signal sends the signal to the process, if there is one, and returns what is closed at its end.
func (in *instance) signal(s syscall.Signal) <-chan struct{} {
	in.process.Lock()
	defer in.process.Unlock()
	if in.command == nil {
		ended := make(chan struct{})
		close(ended)
		return ended
	}
	select {
	case <-in.ended:
	default:
		in.command.Process.Signal(s)
		in.log("%s: %s", in.name, s)
	}
	return in.ended
}

func (in *instance) kill() { <-in.signal(syscall.SIGKILL) }

func (in *instance) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + in.ip + ":8141/readiness")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func awaitReady(instances ...*instance) error {
	for _, in := range instances {
		deadline := time.Now().Add(15 * time.Second)
		for !in.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", in.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
