package poolowner

// defect names a deliberate error in the owner. The randomised tests inject it
// to prove that they detect it; only tests set it.
type defect string

const (
	noDefect                 defect = ""
	defectRegrantOnTimeout   defect = "grant again after silence"
	defectGrantToLeaving     defect = "grant to leaving endpoints"
	defectShedHighestTier    defect = "shed the most urgent tier"
	defectShedDuringTakeover defect = "shed during takeover"
	defectForgetFinished     defect = "forget ended requests"
	defectLeakWindowTokens   defect = "leak window tokens"
	defectGrantKeyTwice      defect = "grant a caller key twice"
	defectCountOutcomeTwice  defect = "count an outcome twice"
	defectAcceptAnyReturn    defect = "accept a return of any grant"
	defectNeverRelease       defect = "never release silent requests"
	defectRefuseGranted      defect = "refuse granted requests at their deadline"
)

// defectInjected reports whether a test injected the given defect.
func (o *Owner) defectInjected(d defect) bool { return o.options.defect == d }
