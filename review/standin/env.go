package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	topicConfig  = "keyed.op"
	topicServers = "keyed.servers"
	heartbeat    = 1200 * time.Millisecond
	host         = "orders.example"
	portFrontend = 8221
	portDir      = 8220
	portReady    = 8224
	portControl  = 8229
	portStore    = 8225
	portRunner   = 8308
	// Each run has its own block of loopback addresses.
	firstBlock = 20
	blocks     = 200
	// The bounds of the settings file, as on the users' pages.
	contactMs     = 3000
	drainMs       = 2000
	configApplyMs = 2000
)

// env is one run: the store, the runners, the daemons as processes, the record.
type env struct {
	block   string // the first two numbers of this run's loopback addresses
	dir     string
	store   *store
	daemons []*daemon
	start   time.Time
	trouble bool

	mu      sync.Mutex
	record  *os.File
	version int
}

func newEnv(record string, trouble bool) (*env, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	e := &env{dir: dir, start: time.Now(), trouble: trouble, record: f}
	// The first block of loopback addresses whose store port is free is taken.
	for n := range blocks {
		e.block = fmt.Sprintf("127.%d", firstBlock+(os.Getpid()+n)%blocks)
		if e.store, err = startStore(e.addr(250, portStore)); err == nil {
			return e, nil
		}
	}
	return nil, err
}

func (e *env) ip(n int) string         { return fmt.Sprintf("%s.1.%d", e.block, n) }
func (e *env) addr(n, port int) string { return net.JoinHostPort(e.ip(n), fmt.Sprint(port)) }

// log writes a line to the record, with seconds since the start.
func (e *env) log(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fmt.Fprintf(e.record, "%8.3f  %s\n", time.Since(e.start).Seconds(), fmt.Sprintf(format, args...))
}

func (e *env) at(t time.Time) float64 { return t.Sub(e.start).Seconds() }

func (e *env) close() {
	for _, d := range e.daemons {
		d.kill()
	}
	e.store.server.Close()
	os.RemoveAll(e.dir)
	e.record.Close()
}

// publish writes the next version of the configuration and returns the time of
// the acknowledgement.
func (e *env) publish(routes, services, tenants []any) time.Time {
	e.version++
	document, err := json.Marshal(map[string]any{
		"Version": e.version, "Routes": routes, "Services": services, "Tenants": tenants,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err)
	}
	at := e.store.put(topicConfig, "config", document)
	e.log("operator: version %d acknowledged", e.version)
	return at
}

func route(name, kind, service string, attempts, timeoutMs int, resumable bool) any {
	return map[string]any{
		"Name": name, "Host": host, "PathPrefix": "/" + name + "/", "RouteType": kind, "TimeoutMs": timeoutMs, "TargetLatencyMs": 300,
		"Priority": 1, "Service": service, "MaxAttempts": attempts, "Public": false, "Resumable": resumable, "GapTargetMs": 300,
	}
}

func plainService(name string) any {
	return map[string]any{"Name": name, "HealthPath": "/healthz", "MaxConnections": 300, "Protocol": "h1", "Tls": false}
}

func engineService(name string) any {
	return map[string]any{
		"Name": name, "HealthPath": "/healthz", "MaxConnections": 300, "Protocol": "h1", "Tls": false,
		"Engine": map[string]any{"Slots": 11, "KvCapacity": 444000, "Stride": 9, "Models": []any{map[string]any{"Name": "m"}}},
	}
}

func tenant(name string, keys ...string) any {
	return map[string]any{"Name": name, "ApiKeys": keys, "Priority": 1, "Unit": "tokens", "UncachedTokens": 200, "RatePerS": 0, "Burst": 0}
}

// daemon is one process of the system.
type daemon struct {
	env  *env
	n    int
	name string
	zone string
	// path leads to the store.
	path    *path
	cpu     float64
	command *exec.Cmd
	exited  chan struct{}
}

// addDaemon starts the daemon of machine n.
func (e *env) addDaemon(n int, zone string, cpu float64) (*daemon, error) {
	p, err := startPath(e.addr(100+n, portStore), e.addr(250, portStore))
	if err != nil {
		return nil, err
	}
	d := &daemon{env: e, n: n, name: fmt.Sprintf("edge-%s-%d", zone, n), zone: zone, path: p, cpu: cpu}
	e.daemons = append(e.daemons, d)
	return d, d.run(true)
}

func (d *daemon) frontend() string { return d.env.addr(d.n, portFrontend) }

func (d *daemon) settings(first bool) string {
	e := d.env
	return fmt.Sprintf(`NodeName: %q
Role: "daemon"
InstanceClass: "edge"
Serves: ["edge", "registry"]
Ip: %q
Zone: %q
Region: "r"
Zones: {z-a: "r", z-b: "r"}
Listen: {Frontend: %q, Ready: %q, ControlPlane: %q, Directory: %q}
InternalPorts: [7600, 7615]
Seeds: []
Bootstrap: %v
FaultCounted: false
Limits: {CpuShare: %v, Cores: 1, MemoryMb: 414, FileDescriptors: 6300, LinkMbps: 1500.0, DiskMb: 0}
DataDir: null
Discovery: "platform"
Entry: "registry"
HeartbeatMs: 1200
Contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota", "platform"]
FaultTolerance: {Machines: 2, Zones: 0, Regions: 0}
Bounds: {SeedLagS: 3, ReuseAfterS: 2, ContactMs: %d, AckMs: 4000, CatchUpS: 4, DrainMs: %d, GraceS: 8, LossSlackMs: 200, ConfigApplyMs: %d, DowngradeSlackMs: 250, MaxStretchMs: 5000, FailClosed: false, RevokeMs: 5000, RetryBudgetRatio: 0.2, BudgetWindowS: 10, RetryAllowance: 56, QuotaWindowS: 8, QuotaOverage: 0.1, QuotaTolerance: 140000, RecoverS: 12, PassMs: 120, RetryAfterS: 6.2, ttl_max_s: 5}
Platform: {Address: %q, form: "log", WritesPerS: 400, ReadsPerS: 2000, parts: 12, AppendMs: 2.0, IngressPerS: 20.0, EgressPerS: 80.0, RecordBytes: 262144, CallBytes: 2097152, keep_s: 300, PartMb: 200, TtlMinMs: 1000}
`, d.name, e.ip(d.n), d.zone, d.frontend(), e.addr(d.n, portReady), e.addr(d.n, portControl), e.addr(d.n, portDir), first, d.cpu,
		contactMs, drainMs, configApplyMs, e.addr(100+d.n, portStore))
}

// run starts the process with the command of the deploy file.
func (d *daemon) run(first bool) error {
	boot := filepath.Join(d.env.dir, d.name+".yaml")
	if err := os.WriteFile(boot, []byte(d.settings(first)), 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(d.env.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	words := strings.Fields(deployCommand())
	c := exec.Command(words[0], words[1:]...)
	c.Env = []string{"SAMPHIREWING_BOOT=" + boot, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
	c.Stdout, c.Stderr = output, output
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	d.command, d.exited = c, exited
	go func() {
		_ = c.Wait()
		output.Close()
		close(exited)
	}()
	d.env.log("started %s, process %d", d.name, c.Process.Pid)
	return nil
}

// deployCommand returns the command of the deploy file's role.
func deployCommand() string {
	text, err := os.ReadFile("deploy/system.toml")
	if err == nil {
		for line := range strings.Lines(string(text)) {
			if value, found := strings.CutPrefix(strings.TrimSpace(line), "run = "); found {
				return strings.Trim(value, `"`)
			}
		}
	}
	return "target/samphirewingd platform --metrics-port 7615"
}

func (d *daemon) kill() {
	if d.command == nil {
		return
	}
	_ = d.command.Process.Kill()
	<-d.exited
}

// awaitReady waits until all daemons say that they are ready.
func (e *env) awaitReady(limit time.Duration) bool {
	client := http.Client{Timeout: time.Second}
	until := time.Now().Add(limit)
	for _, d := range e.daemons {
		for {
			answer, err := client.Get("http://" + e.addr(d.n, portReady) + "/samphirewing/readyz")
			if err == nil {
				answer.Body.Close()
				if answer.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// grepLogs returns the lines of a daemon's log that contain a text.
func (e *env) grepLogs(d *daemon, text string) []string {
	all, _ := os.ReadFile(filepath.Join(e.dir, d.name+".log"))
	var found []string
	for line := range strings.Lines(string(all)) {
		if strings.Contains(line, text) {
			found = append(found, strings.TrimSpace(line))
		}
	}
	return found
}
