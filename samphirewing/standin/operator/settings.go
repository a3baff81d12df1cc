package operator

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"

	"github.com/juju/errors"
)

// The ports of every daemon. Each daemon has its own IP address.
const (
	FrontendPort  = 18221
	ReadyPort     = 18224
	DirectoryPort = 18220
	FirstPort     = 17600
	LastPort      = 17615
)

// DaemonSettings are the variable parts of a daemon's settings file.
type DaemonSettings struct {
	Name, IP, Zone, StoreAddress string
	FirstStart                   bool
	GraceSeconds                 float64
	RetryRatio, RetryAllowance   float64
	// MemoryMb is the memory limit; zero means defaultMemoryMb.
	MemoryMb int
	// FileDescriptors is the limit of open descriptors; zero states none.
	FileDescriptors int
}

const defaultMemoryMb = 400

// WriteSettings replaces a settings file atomically, as the platform does.
func WriteSettings(path string, d DaemonSettings) error {
	text := fmt.Sprintf(`NodeName: %q
Role: "daemon"
Ip: %q
Zone: %q
Region: "r"
Listen:
  Frontend: "%s:%d"
  Ready: "%s:%d"
  Directory: "%s:%d"
InternalPorts: [%d, %d]
Bootstrap: %v
Limits:
  MemoryMb: %d
  FileDescriptors: %d
Bounds:
  ContactMs: 3000
  GraceS: %v
  RetryBudgetRatio: %v
  RetryAllowance: %v
Platform:
  Address: %q
`, d.Name, d.IP, d.Zone, d.IP, FrontendPort, d.IP, ReadyPort, d.IP, DirectoryPort, FirstPort, LastPort, d.FirstStart,
		cmp.Or(d.MemoryMb, defaultMemoryMb), d.FileDescriptors, d.GraceSeconds, d.RetryRatio, d.RetryAllowance, d.StoreAddress)
	return ReplaceFile(path, text)
}

// ReplaceFile replaces a file atomically, by renaming a temporary file.
func ReplaceFile(path, text string) error {
	next := filepath.Join(filepath.Dir(path), "."+filepath.Base(path))
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(os.Rename(next, path))
}
