package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// deployment is a small deployment: the store, entry hosts and replicas.
type deployment struct {
	program, folder string
	began           time.Time

	mu        sync.Mutex
	record    io.Writer
	store     *store
	hosts     []*entryHost
	processes []*process
	asked     int
	ending    bool
}

type entryHost struct {
	name, callers, ready string
	gate                 *gate
	process              *process
}

// process is a process that the script started.
type process struct {
	cmd   *exec.Cmd
	ended chan struct{}
}

func newDeployment(program, folder string, record io.Writer) *deployment {
	return &deployment{program: program, folder: folder, record: record, began: time.Now()}
}

// note writes a line to the record.
func (d *deployment) note(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.record, "%8.3f s  %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, args...))
}

// start starts a process. Each line of its output goes to line.
func (d *deployment) start(env []string, line func(string), program string, args ...string) (*process, error) {
	cmd := exec.CommandContext(context.Background(), program, args...)
	cmd.Env = append(os.Environ(), env...)
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	p := &process{cmd: cmd, ended: make(chan struct{})}
	d.mu.Lock()
	if d.ending {
		d.mu.Unlock()
		return nil, errors.New("the script ends")
	}
	if err := cmd.Start(); err != nil {
		d.mu.Unlock()
		return nil, err
	}
	d.processes = append(d.processes, p)
	d.mu.Unlock()
	d.note("script: started process %d: %s", cmd.Process.Pid, strings.Join(append([]string{filepath.Base(program)}, args...), " "))
	go func() {
		lines := bufio.NewScanner(out)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			line(lines.Text())
		}
		_ = cmd.Wait()
		close(p.ended)
	}()
	return p, nil
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// end ends all processes, by their ids; none is started after it.
func (d *deployment) end() {
	d.mu.Lock()
	d.ending = true
	processes := d.processes
	d.mu.Unlock()
	for _, p := range processes {
		p.signal(syscall.SIGKILL)
		<-p.ended
		d.note("script: process %d has ended", p.cmd.Process.Pid)
	}
	if d.store != nil {
		_ = d.store.close()
	}
}

const settingsFormat = `node_name = %q
role = "entry"
machine_class = "frontend"
serves = ["frontend", "control_plane"]
zone = "a"
region = "r"
seeds = []
bootstrap = true
heartbeat_ms = 1200
[zones]
a = "r"
[listen_addrs]
frontend = %q
ready = %q
control = %q
[limits]
cpu_share = 0.304
cpu_cores = 1
memory_mb = 284
max_fds = 4100
[bounds]
contact_ms = 3000
drain_ms = 2000
grace_s = 8
config_apply_ms = 2000
strict_revoke = true
revoke_ms = 5000
retry_budget_ratio = 0.2
retry_window_s = 10
retry_slack = 58
quota_window_s = 8
quota_overage = 0.1
quota_slack = 140000
require_fence = true
lease_ms = 3000
usage_window_s = 5
[platform]
address = %q
[cloud_api]
address = %q
duties = ["usage_report"]
`

// startHosts starts the store and entry hosts, and waits until these are ready.
func (d *deployment) startHosts(config string, count int) error {
	var err error
	if d.store, err = newStore(); err != nil {
		return err
	}
	d.store.put("op/config", []byte(config))
	for i := range count {
		h := &entryHost{name: fmt.Sprintf("host-%d", i+1)}
		var addresses [3]string
		for j := range addresses {
			l, err := listenLoopback()
			if err != nil {
				return err
			}
			addresses[j] = l.Addr().String()
			l.Close()
		}
		h.callers, h.ready = addresses[0], addresses[1]
		if h.gate, err = d.store.newGate(); err != nil {
			return err
		}
		path := filepath.Join(d.folder, h.name+".toml")
		text := fmt.Sprintf(settingsFormat, h.name, addresses[0], addresses[1], addresses[2], h.gate.addr, d.store.addr)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return err
		}
		log, err := os.Create(filepath.Join(d.folder, h.name+".log"))
		if err != nil {
			return err
		}
		write := func(line string) { fmt.Fprintln(log, line) }
		if h.process, err = d.start([]string{"ACACIALINK_NODE_FILE=" + path}, write, d.program, "gateway"); err != nil {
			return err
		}
		d.hosts = append(d.hosts, h)
	}
	return d.awaitReady(15 * time.Second)
}

// awaitReady waits until all hosts are ready.
func (d *deployment) awaitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, h := range d.hosts {
		for !isReady(h.ready) {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func isReady(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/api/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startReplica starts a replica as a process.
func (d *deployment) startReplica(line func(string), args ...string) (*process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	return d.start(nil, line, self, append([]string{"replica", "-store", d.store.addr}, args...)...)
}

// The engines of the site: nine replicas, of which the system has six read prompts.
const (
	engines       = 9
	decodeEngines = 3
)

// startEngines starts the model replicas and returns the first one that makes tokens.
func (d *deployment) startEngines(pieces int, gap time.Duration) (victim *process, arguments []string, err error) {
	for i := range engines {
		l, err := listenLoopback()
		if err != nil {
			return nil, nil, err
		}
		address := l.Addr().String()
		l.Close()
		id, stage := fmt.Sprintf("i-%d", i+1), "prefill"
		if i < decodeEngines {
			stage = "decode"
		}
		args := []string{"-id", id, "-listen", address, "-stage", stage, "-pieces", fmt.Sprint(pieces), "-gap", gap.String()}
		p, err := d.startReplica(func(line string) { d.note("%s: %s", id, line) }, args...)
		if err != nil {
			return nil, nil, err
		}
		if i == 0 {
			victim, arguments = p, args
		}
	}
	for i := range engines {
		if !d.awaitKey(fmt.Sprintf("servers/i-%d", i+1)) {
			return nil, nil, errors.New("a replica is not registered")
		}
	}
	return victim, arguments, nil
}

// sendStreams sends streams to the hosts in turn, one each pause, and returns a function that
// waits for their answers.
func (d *deployment) sendStreams(hosts []*entryHost, count, pieces int, pause time.Duration) (wait func() []*answer) {
	answers := make([]*answer, count)
	var streams sync.WaitGroup
	for i := range answers {
		h, id := hosts[i%len(hosts)], fmt.Sprintf("attempt-%d", i+1)
		streams.Go(func() {
			d.note("client: sends %s to %s", id, h.name)
			headers := fmt.Sprintf("X-Model: m\r\nX-Token-Count: 200,60\r\nX-Prefix-Hash: 5c1e07a2:100,%x:100\r\n", 0x1000+i)
			a := send(h, "POST", "/chat/1", id, headers, "prompt", 8*time.Second)
			answers[i] = a
			d.note("client: %s got %d with seal %q, %d events of %d, ended as whole: %t, error: %v", id, a.status, a.seal, a.events(), pieces, a.whole, a.err)
		})
		time.Sleep(pause)
	}
	return func() []*answer {
		streams.Wait()
		return answers
	}
}

// judgeStreams reports whether a stream ended as complete before its last piece.
func (d *deployment) judgeStreams(answers []*answer, pieces int) (broken bool, err error) {
	served := 0
	for _, a := range answers {
		if a.status != 200 {
			continue
		}
		served++
		if a.whole && a.events() < pieces {
			d.note("MIXED, ORDER: %s ended as complete after %d of %d events; the last is %q", a.id, a.events(), pieces, lastLine(a.body))
			broken = true
		}
	}
	d.note("%d of %d streams were answered with 200", served, len(answers))
	if served < len(answers)/2 {
		return false, errors.New("less than half of the streams were answered")
	}
	return broken, nil
}

// awaitKey waits until a key is in the store.
func (d *deployment) awaitKey(key string) bool {
	for range 100 {
		if d.store.present(key) {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}
