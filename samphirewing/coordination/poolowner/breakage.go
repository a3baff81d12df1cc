package poolowner

// breakage names one deliberate fault, so that the randomised runs can show
// that they would find it. It is set in tests alone.
type breakage string

const (
	breakNothing          breakage = ""
	breakRegrantOnSilence breakage = "grant again after silence"
	breakGrantLeaving     breakage = "grant to leaving endpoints"
	breakShedHighest      breakage = "shed the most urgent tier"
	breakShedInTakeover   breakage = "shed during takeover"
	breakForgetEnded      breakage = "forget ended requests"
	breakLeakTokens       breakage = "leak window tokens"
	breakKeyTwice         breakage = "grant a caller key twice"
	breakCountTwice       breakage = "count an outcome twice"
	breakAnyReturn        breakage = "accept a return of any grant"
	breakNeverRelease     breakage = "never release silent requests"
	breakRefuseGranted    breakage = "refuse granted requests at their deadline"
)

func (o *Owner) broken(b breakage) bool { return o.options.breakage == b }
