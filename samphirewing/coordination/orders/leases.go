package orders

import "github.com/samphirewing/coordkit/coordination/lease"

// HeldLeases returns the leases that this instance currently holds.
func (r *Runner) HeldLeases() []lease.Grant { return r.leases.Held() }
