package orders

import "github.com/samphirewing/coordkit/coordination/lease"

// Held returns the leases that this instance holds now, by name.
func (r *Runner) Held() []lease.Grant { return r.leases.Held() }
