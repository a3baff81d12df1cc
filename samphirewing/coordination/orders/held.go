package orders

import "github.com/samphirewing/coordkit/coordination/lease"

// HeldLeases returns the leases that this instance holds now, by name.
func (r *Runner) HeldLeases() []lease.Grant { return r.leases.Held() }
