package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// instance is one real process with its links.
type instance struct {
	name   string
	host   string
	binary string
	folder string
	// dataCentre is that of the instance.
	dataCentre string
	store      *link
	peers      *link
	// seeds are the peers' addresses of some instances that started before.
	seeds []string
	// hasQuotas is true if the instance keeps quotas.
	hasQuotas bool
	// away is true if the instance does not come back; the mutex of soak guards it.
	away    bool
	command *exec.Cmd
	ended   chan struct{}

	// starting is held by restart: one that overlaps another finds its process running.
	starting sync.Mutex

	// onEnd is called with the way in which a process ended, unless it was killed or ended as asked.
	onEnd func(state *os.ProcessState, wasStopped bool)

	mu      sync.Mutex
	starts  int
	frozen  bool
	stopped bool
	killed  bool
}

const (
	// Each hangupStarts-th start is followed by a SIGHUP within hangupDelay, once the process handles or
	// ignores it, and each planned stop by one within hangupStop. A process that still has the default
	// action after handlerTimeout gets it nevertheless.
	hangupStarts   = 3
	hangupDelay    = 30 * time.Millisecond
	handlerTimeout = time.Second
	hangupStop     = time.Second
)

func (in *instance) callers() string { return in.host + ":7101" }

// settings writes the settings file.
func (in *instance) settings() error {
	text := fmt.Sprintf(`Instance: %s
DataCentre: %[6]s
CallerListen: %[2]s:7101
ReadyListen: %[2]s:7102
PeerListen: %[2]s:7103
PeerAddress: %[3]s
Seeds: [%[5]s]
AdminListen: %[2]s:7104
StoreAddress: %[4]s
GracePeriod: 6s
Budgets: {OutageShare: 0.25}
`, in.name, in.host, in.peers.address(), in.store.address(), strings.Join(in.seeds, ", "), in.dataCentre)
	if in.hasQuotas {
		text += fmt.Sprintf("QuotaWindow: %v\nQuotaOverage: %g\nQuotaTolerance: %d\n", quotaWindow, quotaOverage, quotaTolerance)
	}
	return os.WriteFile(in.file("yaml"), []byte(text), 0o600)
}

func (in *instance) file(kind string) string { return filepath.Join(in.folder, in.name+"."+kind) }

// start starts the process; its log is appended to.
func (in *instance) start() error {
	in.mu.Lock()
	defer in.mu.Unlock()
	log, err := os.OpenFile(in.file("log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()                                 // The process has it.
	command := exec.Command(in.binary, "entry", "-f", in.file("yaml")) //nolint:noctx // Ended by its ID.
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	in.command, in.ended, in.frozen, in.stopped, in.killed = command, ended, false, false, false
	if in.starts++; in.starts%hangupStarts == 0 {
		time.AfterFunc(rand.N(hangupDelay), func() { hangUpAtStart(command.Process) })
	}
	go func() {
		_ = command.Wait() // The state tells how it ended.
		in.mu.Lock()
		stopped, killed := in.stopped, in.killed
		in.mu.Unlock()
		if !killed && (!stopped || !endedByStop(command.ProcessState)) {
			in.onEnd(command.ProcessState, stopped)
		}
		close(ended)
	}()
	return nil
}

// hangUpAtStart sends a SIGHUP to a process that has just started. Until it has set its handling, the
// default action of the signal ends it, as that of any program.
func hangUpAtStart(process *os.Process) {
	for start := time.Now(); time.Since(start) < handlerTimeout && !handlesHangup(process.Pid); {
		time.Sleep(time.Millisecond)
	}
	_ = process.Signal(syscall.SIGHUP) // It may have ended.
}

// handlesHangup reports whether the process catches or ignores SIGHUP.
func handlesHangup(pid int) bool {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return false
	}
	for line := range strings.Lines(string(status)) {
		name, mask, _ := strings.Cut(strings.TrimSpace(line), ":\t")
		if name != "SigIgn" && name != "SigCgt" {
			continue
		}
		if signals, err := strconv.ParseUint(mask, 16, 64); err == nil && signals>>(syscall.SIGHUP-1)&1 != 0 {
			return true
		}
	}
	return false
}

// endedByStop reports whether a process with the state may have ended by SIGTERM, which has its default
// action until the process has set its handler.
func endedByStop(state *os.ProcessState) bool {
	status, ok := state.Sys().(syscall.WaitStatus)
	return state.Success() || ok && status.Signaled() && status.Signal() == syscall.SIGTERM
}

// signal sends the signal to the process, if it runs. It returns a channel that
// closes when that process ends; nil if none ever ran.
func (in *instance) signal(s syscall.Signal) <-chan struct{} {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.isRunning() {
		// The process may end at this moment. Its end is looked at under the lock.
		_ = in.command.Process.Signal(s)
		in.frozen = s == syscall.SIGSTOP || (in.frozen && s != syscall.SIGCONT)
		in.stopped = in.stopped || s == syscall.SIGTERM
		in.killed = in.killed || s == syscall.SIGKILL
	}
	return in.ended
}

func (in *instance) isRunning() bool {
	if in.command == nil {
		return false
	}
	select {
	case <-in.ended:
		return false
	default:
		return true
	}
}

// stop begins a planned stop, unless one is under way.
func (in *instance) stop() {
	in.mu.Lock()
	stopped := in.stopped
	in.mu.Unlock()
	if !stopped {
		in.signal(syscall.SIGTERM)
		time.AfterFunc(rand.N(hangupStop), func() { in.signal(syscall.SIGHUP) })
	}
}

// kill ends the process at once and waits for it.
func (in *instance) kill() {
	if ended := in.signal(syscall.SIGKILL); ended != nil {
		<-ended
	}
}

// restart makes sure that a process runs and is not frozen.
func (in *instance) restart() error {
	in.starting.Lock()
	defer in.starting.Unlock()
	in.mu.Lock()
	running, stopped, ended := in.isRunning(), in.stopped, in.ended
	in.mu.Unlock()
	if running && !stopped {
		in.signal(syscall.SIGCONT)
		return nil
	}
	if running {
		in.signal(syscall.SIGCONT)
		<-ended
	}
	return in.start()
}

func (in *instance) isReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+in.host+":7102/", http.NoBody)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close() // The status is all.
	return response.StatusCode == http.StatusOK
}
