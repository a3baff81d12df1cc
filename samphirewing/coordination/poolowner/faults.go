package poolowner

// fault names a deliberate fault that the randomised tests inject to prove that
// they detect it. Only tests set it.
type fault string

const (
	noFault                 fault = ""
	faultRegrantOnTimeout   fault = "grant again after silence"
	faultGrantToLeaving     fault = "grant to leaving endpoints"
	faultShedHighestTier    fault = "shed the most urgent tier"
	faultShedDuringTakeover fault = "shed during takeover"
	faultForgetFinished     fault = "forget ended requests"
	faultLeakWindowTokens   fault = "leak window tokens"
	faultGrantKeyTwice      fault = "grant a caller key twice"
	faultCountOutcomeTwice  fault = "count an outcome twice"
	faultAcceptAnyReturn    fault = "accept a return of any grant"
	faultNeverRelease       fault = "never release silent requests"
	faultRefuseGranted      fault = "refuse granted requests at their deadline"
)

// faultInjected reports whether a test injected the given fault.
func (o *Owner) faultInjected(f fault) bool { return o.options.fault == f }
