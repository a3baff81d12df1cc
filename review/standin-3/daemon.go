package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	frontendPort  = 8221
	readyPort     = 8224
	directoryPort = 8220
)

// daemon is one process of the project, started as deploy/system.toml does.
type daemon struct {
	name, ip, dir string
	command       *exec.Cmd
	exited        chan struct{}
	log           *os.File
}

// settings are those of a small deployment, as in DEPLOY.md.
const settings = `NodeName: %q
Role: "daemon"
InstanceClass: "edge"
Serves: ["edge", "registry"]
Ip: %q
Zone: %q
Region: "region-a"
Zones: {zone-a: "region-a", zone-b: "region-a"}
Listen:
  Frontend: "%[2]s:8221"
  Ready: "%[2]s:8224"
  Directory: "%[2]s:8220"
InternalPorts: [7600, 7615]
Seeds: []
Bootstrap: true
FaultCounted: false
Limits: {CpuShare: 0.608, Cores: 1, MemoryMb: %[4]d, FileDescriptors: 6150, LinkMbps: 1500.0, DiskMb: 0}
DataDir: null
Discovery: "platform"
Entry: "registry"
HeartbeatMs: 1200
Contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota", "platform"]
FaultTolerance: {Machines: 2, Zones: 0, Regions: 0}
Bounds: {SeedLagS: 3, ReuseAfterS: 2, ContactMs: 3000, AckMs: 4000, CatchUpS: 4, DrainMs: 2000, GraceS: 8, LossSlackMs: 200, ConfigApplyMs: 2000, DowngradeSlackMs: 250, MaxStretchMs: 5000, FailClosed: false, RevokeMs: 5000, RetryBudgetRatio: 0.2, BudgetWindowS: 10, RetryAllowance: 56, QuotaWindowS: 8, QuotaOverage: 0.1, QuotaTolerance: 140000, RecoverS: 12, PassMs: 120, RetryAfterS: 6.2, ttl_max_s: 5}
Platform: {Address: %[5]q, form: "log", WritesPerS: 400, ReadsPerS: 2000, parts: 12, AppendMs: 2.0, IngressPerS: 20.0, EgressPerS: 80.0, RecordBytes: 262144, CallBytes: 2097152, keep_s: 300, PartMb: 200, TtlMinMs: 1000}
`

// deployCommand is the command of the role in deploy/system.toml.
func deployCommand(root string) ([]string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy/system.toml"))
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(strings.TrimSpace(value), `"`)), nil
		}
	}
	return nil, fmt.Errorf("deploy/system.toml names no command")
}

// freeIP returns a loopback address at which the ports of a daemon are free.
func freeIP(n int) (string, error) {
	for try := range 200 {
		ip := fmt.Sprintf("127.%d.%d.%d", 20+(os.Getpid()+try)%200, 1+os.Getpid()/200%250, 1+n)
		free := true
		for _, port := range []int{frontendPort, readyPort, directoryPort, 7600, 7615} {
			l, err := net.Listen("tcp", net.JoinHostPort(ip, fmt.Sprint(port)))
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if free {
			return ip, nil
		}
	}
	return "", fmt.Errorf("no loopback address has the daemon's ports free")
}

func (e *environment) startDaemon(n, memoryMb int) (*daemon, error) {
	ip, err := freeIP(n)
	if err != nil {
		return nil, err
	}
	d := &daemon{name: fmt.Sprintf("edge-%d", n), ip: ip, dir: e.dir}
	text := fmt.Sprintf(settings, d.name, d.ip, "zone-a", memoryMb, e.store.address())
	if err := os.WriteFile(filepath.Join(e.dir, d.name+".yaml"), []byte(text), 0o600); err != nil {
		return nil, err
	}
	if err := d.start(e.root); err != nil {
		return nil, err
	}
	e.daemons = append(e.daemons, d)
	return d, nil
}

// start starts the process.
func (d *daemon) start(root string) error {
	words, err := deployCommand(root)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(filepath.Join(root, words[0]), words[1:]...)
	command.Dir = root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "SAMPHIREWING_BOOT=" + filepath.Join(d.dir, d.name+".yaml")}
	command.Stdout, command.Stderr = log, log
	// The process ends with the one that has started it.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	d.command, d.exited, d.log = command, exited, log
	go func() {
		_ = command.Wait()
		log.Close()
		close(exited)
	}()
	return nil
}

func (d *daemon) signal(s syscall.Signal) { _ = d.command.Process.Signal(s) }

func (d *daemon) running() bool {
	select {
	case <-d.exited:
		return false
	default:
		return true
	}
}

func (d *daemon) kill() {
	if d.command != nil && d.running() {
		d.signal(syscall.SIGKILL)
		<-d.exited
	}
}

func (d *daemon) frontend() string { return net.JoinHostPort(d.ip, fmt.Sprint(frontendPort)) }

func (d *daemon) awaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	url := fmt.Sprintf("http://%s:%d/samphirewing/readyz", d.ip, readyPort)
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get(url)
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", d.name, limit)
}
