package platform

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"
	"gopkg.in/yaml.v3"

	"github.com/samphirewing/coordkit/protocol/instance"

	"github.com/samphirewing/samphirewing/coordination/dispatch"
	"github.com/samphirewing/samphirewing/coordination/rollout"
)

// Settings are a daemon's settings from the platform's settings file.
type Settings struct {
	Instance      instance.ID
	FailureDomain instance.FailureDomain
	Region        instance.Region
	IP            string
	// FrontendAddress, ReadyAddress and DirectoryAddress are the listening
	// addresses for callers' requests, for the platform's readiness check, and
	// for callers that look up addresses.
	FrontendAddress  string
	ReadyAddress     string
	DirectoryAddress string
	// PeerAdvertise is the address announced to peers; if empty, the listening
	// address is announced. It is set by a flag, not by the platform, for
	// daemons behind a port forwarder.
	PeerAdvertise string
	// TrafficPriceMsPerMiB is how long a caller may rather wait than send a MiB to
	// another failure domain. It is set by a flag, not by the platform.
	TrafficPriceMsPerMiB float64
	// FirstPort and LastPort bound the ports reserved for the product's
	// internal use (InternalPorts).
	FirstPort, LastPort int
	// FirstStart is set only when the whole system starts for the first time
	// (Bootstrap).
	FirstStart  bool
	MemoryBytes int64
	// Descriptors is the number of files that the process may open
	// (FileDescriptors); zero if it is not stated.
	Descriptors int
	// Capacity is the machine's share of a processor, in thousandths of a core
	// (CpuShare times Cores).
	Capacity int
	// StoreAddress is the address of the metadata store (Platform.Address).
	StoreAddress string
	// ContactWindow is the time after a disturbance after which an instance
	// counts as in contact again (ContactMs).
	ContactWindow time.Duration
	// PropagationBound is the time within which a change of the configuration or
	// of an endpoint must have taken effect (the smaller of ConfigApplyMs and
	// DrainMs); zero if it is not stated.
	PropagationBound time.Duration
	// DrainGrace is the time between SIGTERM and SIGKILL (GraceS).
	DrainGrace time.Duration
	// RetryRatio and RetryAllowance define the retry budget shared by all
	// daemons.
	RetryRatio     float64
	RetryAllowance float64
	// Rollout holds the bounds of rollouts (ExposureShare, ExposureTolerance and
	// RollbackMs).
	Rollout rollout.Settings
}

// settingsFile is the settings file in the platform's format.
type settingsFile struct {
	NodeName string `yaml:"NodeName"`
	IP       string `yaml:"Ip"`
	Zone     string `yaml:"Zone"`
	Region   string `yaml:"Region"`
	Listen   struct {
		Frontend  string `yaml:"Frontend"`
		Ready     string `yaml:"Ready"`
		Directory string `yaml:"Directory"`
	} `yaml:"Listen"`
	InternalPorts []int `yaml:"InternalPorts"`
	Bootstrap     bool  `yaml:"Bootstrap"`
	Limits        struct {
		MemoryMb float64 `yaml:"MemoryMb"`
		// FileDescriptors is a float, as the other numbers, for tolerance.
		FileDescriptors float64 `yaml:"FileDescriptors"`
		CPUShare        float64 `yaml:"CpuShare"`
		Cores           float64 `yaml:"Cores"`
	} `yaml:"Limits"`
	Bounds struct {
		ContactMs        float64 `yaml:"ContactMs"`
		DrainMs          float64 `yaml:"DrainMs"`
		ConfigApplyMs    float64 `yaml:"ConfigApplyMs"`
		GraceS           float64 `yaml:"GraceS"`
		RetryBudgetRatio float64 `yaml:"RetryBudgetRatio"`
		RetryAllowance   float64 `yaml:"RetryAllowance"`

		ExposureShare     float64 `yaml:"ExposureShare"`
		ExposureTolerance float64 `yaml:"ExposureTolerance"`
		RollbackMs        float64 `yaml:"RollbackMs"`
	} `yaml:"Bounds"`
	Platform struct {
		Address string `yaml:"Address"`
	} `yaml:"Platform"`
}

// ReadSettings reads and validates the settings file. The error lists all
// faults.
func ReadSettings(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Annotatef(err, "settings file; %s must name a readable file", SettingsVariable)
	}
	return parseSettings(text)
}

func parseSettings(text []byte) (Settings, error) {
	var f settingsFile
	// Unknown fields are ignored, since the platform adds new ones.
	if err := yaml.NewDecoder(bytes.NewReader(text)).Decode(&f); err != nil {
		return Settings{}, errors.Annotate(err, "settings file is not readable YAML")
	}
	s := Settings{
		Instance: instance.ID(f.NodeName), FailureDomain: instance.FailureDomain(f.Zone), Region: instance.Region(f.Region),
		IP: f.IP, FrontendAddress: f.Listen.Frontend, ReadyAddress: f.Listen.Ready, DirectoryAddress: f.Listen.Directory,
		FirstStart: f.Bootstrap, MemoryBytes: int64(f.Limits.MemoryMb * (1 << 20)), Descriptors: int(f.Limits.FileDescriptors), StoreAddress: f.Platform.Address,
		Capacity:      int(f.Limits.CPUShare * max(f.Limits.Cores, 1) * thousandthsPerCore),
		ContactWindow: millis(f.Bounds.ContactMs), PropagationBound: millis(smallestStated(f.Bounds.DrainMs, f.Bounds.ConfigApplyMs)), DrainGrace: seconds(f.Bounds.GraceS), RetryRatio: f.Bounds.RetryBudgetRatio, RetryAllowance: f.Bounds.RetryAllowance,
	}
	s.Rollout = rollout.Settings{ExposureShare: f.Bounds.ExposureShare, ExposureTolerance: int(f.Bounds.ExposureTolerance), RollbackTime: millis(f.Bounds.RollbackMs), OrdersUnexpected: f.Bounds.ExposureShare <= 0}
	if len(f.InternalPorts) == 2 {
		s.FirstPort, s.LastPort = f.InternalPorts[0], f.InternalPorts[1]
	}
	return s, s.validate()
}

// smallestStated returns the smallest of the values that are above zero, or zero
// if none is.
func smallestStated(values ...float64) (smallest float64) {
	for _, v := range values {
		if v > 0 && (smallest == 0 || v < smallest) {
			smallest = v
		}
	}
	return smallest
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (s Settings) validate() error {
	var faults []string
	require := func(ok bool, format string, args ...any) {
		if !ok {
			faults = append(faults, fmt.Sprintf(format, args...))
		}
	}
	requireAddress := func(name, value string) {
		_, _, err := net.SplitHostPort(value)
		require(err == nil, "%s: %q is not IP:port", name, value)
	}
	require(s.Instance != "", "NodeName is missing")
	require(s.FailureDomain != "", "Zone is missing")
	require(net.ParseIP(s.IP) != nil, "Ip: %q is not an IP address", s.IP)
	requireAddress("Listen.Frontend", s.FrontendAddress)
	requireAddress("Listen.Ready", s.ReadyAddress)
	requireAddress("Listen.Directory", s.DirectoryAddress)
	requireAddress("Platform.Address", s.StoreAddress)
	require(s.FirstPort > 0 && s.LastPort > s.FirstPort, "InternalPorts must name a first and a higher last port")
	require(s.DrainGrace > 0, "Bounds.GraceS must be above zero")
	if len(faults) > 0 {
		return errors.Errorf("settings file: %s", strings.Join(faults, "; "))
	}
	return nil
}

// dispatch returns the settings for placing requests.
func (s Settings) dispatch() *dispatch.Settings {
	d := dispatch.DefaultSettings()
	d.Episodes, d.CrossDomain, d.TrafficPriceMsPerMiB = true, true, s.TrafficPriceMsPerMiB
	return &d
}

// peerAddress returns the address on which this daemon listens for peers.
func (s Settings) peerAddress() string {
	return net.JoinHostPort(s.IP, fmt.Sprint(s.FirstPort))
}
