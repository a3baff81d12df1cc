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
)

// Settings is what a daemon learns from the platform's settings file.
type Settings struct {
	Instance      instance.ID
	FailureDomain instance.FailureDomain
	Region        instance.Region
	IP            string
	// FrontendAddress, ReadyAddress and DirectoryAddress are where callers, the
	// platform's readiness check and callers in search of an address come in.
	FrontendAddress  string
	ReadyAddress     string
	DirectoryAddress string
	// PeerAdvertise is the address that peers are told to dial; empty tells the
	// one that is listened on. It is a flag of our own, for daemons behind a
	// forwarder.
	PeerAdvertise string
	// FirstPort and LastPort bound the ports free for our own use.
	FirstPort, LastPort int
	// FirstStart is set only when the whole system starts for the first time.
	FirstStart  bool
	MemoryBytes int64
	// StoreAddress is the metadata store's.
	StoreAddress string
	// ContactAfter is how long after a disturbance an instance counts as in
	// contact again.
	ContactAfter time.Duration
	// DrainGrace is the time between SIGTERM and SIGKILL.
	DrainGrace time.Duration
	// RetryRatio and RetryAllowance are the retry budget over all daemons.
	RetryRatio     float64
	RetryAllowance float64
}

// settingsFile is the file as the platform writes it.
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
	} `yaml:"Limits"`
	Bounds struct {
		ContactMs        float64 `yaml:"ContactMs"`
		GraceS           float64 `yaml:"GraceS"`
		RetryBudgetRatio float64 `yaml:"RetryBudgetRatio"`
		RetryAllowance   float64 `yaml:"RetryAllowance"`
	} `yaml:"Bounds"`
	Platform struct {
		Address string `yaml:"Address"`
	} `yaml:"Platform"`
}

// ReadSettings reads and checks the settings file. The error lists every
// fault.
func ReadSettings(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Annotatef(err, "settings file; %s must name a readable file", SettingsVariable)
	}
	return parseSettings(text)
}

func parseSettings(text []byte) (Settings, error) {
	var f settingsFile
	// Unknown fields are passed over: the platform adds new ones.
	if err := yaml.NewDecoder(bytes.NewReader(text)).Decode(&f); err != nil {
		return Settings{}, errors.Annotate(err, "settings file is not readable YAML")
	}
	s := Settings{
		Instance: instance.ID(f.NodeName), FailureDomain: instance.FailureDomain(f.Zone), Region: instance.Region(f.Region),
		IP: f.IP, FrontendAddress: f.Listen.Frontend, ReadyAddress: f.Listen.Ready, DirectoryAddress: f.Listen.Directory,
		FirstStart: f.Bootstrap, MemoryBytes: int64(f.Limits.MemoryMb * (1 << 20)), StoreAddress: f.Platform.Address,
		ContactAfter: millis(f.Bounds.ContactMs), DrainGrace: seconds(f.Bounds.GraceS), RetryRatio: f.Bounds.RetryBudgetRatio, RetryAllowance: f.Bounds.RetryAllowance,
	}
	if len(f.InternalPorts) == 2 {
		s.FirstPort, s.LastPort = f.InternalPorts[0], f.InternalPorts[1]
	}
	return s, s.check()
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (s Settings) check() error {
	var faults []string
	need := func(ok bool, format string, args ...any) {
		if !ok {
			faults = append(faults, fmt.Sprintf(format, args...))
		}
	}
	address := func(name, value string) {
		_, _, err := net.SplitHostPort(value)
		need(err == nil, "%s: %q is not IP:port", name, value)
	}
	need(s.Instance != "", "NodeName is missing")
	need(s.FailureDomain != "", "Zone is missing")
	need(net.ParseIP(s.IP) != nil, "Ip: %q is not an IP address", s.IP)
	address("Listen.Frontend", s.FrontendAddress)
	address("Listen.Ready", s.ReadyAddress)
	address("Listen.Directory", s.DirectoryAddress)
	address("Platform.Address", s.StoreAddress)
	need(s.FirstPort > 0 && s.LastPort > s.FirstPort, "InternalPorts must name a first and a higher last port")
	need(s.DrainGrace > 0, "Bounds.GraceS must be above zero")
	if len(faults) > 0 {
		return errors.Errorf("settings file: %s", strings.Join(faults, "; "))
	}
	return nil
}

// peerAddress is where this daemon listens for its peers.
func (s Settings) peerAddress() string {
	return net.JoinHostPort(s.IP, fmt.Sprint(s.FirstPort))
}
