package main

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// The ports of a daemon, the same on each of its addresses.
const (
	frontendPort  = 18221
	readyPort     = 18224
	directoryPort = 18220
	firstPort     = 7600
	lastPort      = 7615
)

// network hands out loopback addresses on which the ports of a daemon are free.
type network struct{ prefix string }

func newNetwork() (*network, error) {
	for range 50 {
		prefix := fmt.Sprintf("127.%d.%d.", 64+rand.IntN(128), 1+rand.IntN(250))
		if portsFree(prefix+"1") && portsFree(prefix+"2") && portsFree(prefix+"3") {
			return &network{prefix: prefix}, nil
		}
	}
	return nil, fmt.Errorf("no loopback address with free ports")
}

func portsFree(ip string) bool {
	for _, port := range []int{frontendPort, readyPort, directoryPort, firstPort, lastPort} {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		listener.Close()
	}
	return true
}

func (n *network) ip(number int) string { return fmt.Sprintf("%s%d", n.prefix, number) }

// daemon is one process of the system, started as the deploy file says.
type daemon struct {
	name, ip, dir string
	storeAddress  string
	settings      daemonSettings
	command       *exec.Cmd
	exited        chan struct{}
	starts        int
}

// daemonSettings are the figures of a machine that cases choose.
type daemonSettings struct {
	memoryMb, descriptors int
	// large selects the bounds of siamlens-wire-grown instead of those of pr-dakar, and
	// linkMbps a link of that speed to the store; zero doesn't limit it.
	large    bool
	linkMbps float64
	// cpuShare is the machine's share of a core; zero means 0.8.
	cpuShare float64
}

// bounds are the bounds that differ: ContactMs, DrainMs and ConfigApplyMs.
func (s daemonSettings) bounds() (contact, drain, configApply time.Duration) {
	if s.large {
		return 4 * time.Second, 3 * time.Second, 3 * time.Second
	}
	return 3 * time.Second, 2 * time.Second, 2 * time.Second
}

// deployCommand returns the words of the run line of the deploy file.
func deployCommand() ([]string, error) {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strings.Fields(strings.Trim(value, `"`)), nil
		}
	}
	return nil, fmt.Errorf("deploy/system.toml has no run line")
}

func (d *daemon) settingsPath() string { return filepath.Join(d.dir, d.name+".yaml") }

// writeSettings writes the settings file of a machine of a small deployment.
func (d *daemon) writeSettings() error {
	contact, drain, configApply := d.settings.bounds()
	text := fmt.Sprintf(`NodeName: %q
Role: "daemon"
InstanceClass: "edge"
Serves: ["edge", "registry"]
Ip: %q
Zone: "z-a"
Region: "r"
Zones: {"z-a": "r"}
Listen: {Frontend: "%s:%d", Ready: "%s:%d", Directory: "%s:%d"}
InternalPorts: [%d, %d]
Seeds: []
Bootstrap: %v
Limits: {CpuShare: %v, Cores: 1, MemoryMb: %d, FileDescriptors: %d, LinkMbps: 1500.0, DiskMb: 0}
DataDir: null
Discovery: "platform"
Entry: "registry"
HeartbeatMs: 1200
FaultTolerance: {Machines: 2, Zones: 0, Regions: 0}
Bounds: {SeedLagS: 3, ReuseAfterS: 2, ContactMs: %d, AckMs: 4000, CatchUpS: 4, DrainMs: %d, GraceS: %d, LossSlackMs: 200, ConfigApplyMs: %d, DowngradeSlackMs: 250, MaxStretchMs: 5000, FailClosed: false, RevokeMs: 5000, RetryBudgetRatio: 0.2, BudgetWindowS: 10, RetryAllowance: 58, QuotaWindowS: 8, QuotaOverage: 0.1, QuotaTolerance: 140000, RecoverS: 12, PassMs: 120, RetryAfterS: 10, ttl_max_s: 5}
Platform: {Address: %q, form: "log", WritesPerS: 400, ReadsPerS: 2000, parts: 12, AppendMs: 2.0, IngressPerS: 20.0, EgressPerS: 80.0, RecordBytes: 262144, CallBytes: 2097152, keep_s: 300, PartMb: 200, TtlMinMs: 1000}
`, d.name, d.ip, d.ip, frontendPort, d.ip, readyPort, d.ip, directoryPort, firstPort, lastPort, d.starts == 0,
		cmp.Or(d.settings.cpuShare, 0.8), d.settings.memoryMb, d.settings.descriptors, contact.Milliseconds(), drain.Milliseconds(), graceSeconds, configApply.Milliseconds(), d.storeAddress)
	next := d.settingsPath() + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(next, d.settingsPath())
}

// graceSeconds is GraceS of the settings.
const graceSeconds = 8

func (d *daemon) start() error {
	words, err := deployCommand()
	if err != nil {
		return err
	}
	if err := d.writeSettings(); err != nil {
		return err
	}
	d.starts++
	output, err := os.Create(filepath.Join(d.dir, fmt.Sprintf("%s-%d.log", d.name, d.starts)))
	if err != nil {
		return err
	}
	defer output.Close()
	command := exec.Command(words[0], words[1:]...)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SAMPHIREWING_BOOT=" + d.settingsPath()}
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	d.command, d.exited = command, exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

func (d *daemon) frontend() string { return fmt.Sprintf("%s:%d", d.ip, frontendPort) }

func (d *daemon) signal(s syscall.Signal) { _ = d.command.Process.Signal(s) }

func (d *daemon) running() bool {
	select {
	case <-d.exited:
		return false
	default:
		return true
	}
}

// stop ends the process.
func (d *daemon) stop() {
	if d.command == nil {
		return
	}
	d.signal(syscall.SIGKILL)
	<-d.exited
}

// awaitReady waits until the daemon says that it is ready.
func (d *daemon) awaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if !d.running() {
			return fmt.Errorf("%s has ended", d.name)
		}
		answer, err := client.Get(fmt.Sprintf("http://%s:%d/samphirewing/readyz", d.ip, readyPort))
		if err != nil {
			continue
		}
		answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", d.name, limit)
}
