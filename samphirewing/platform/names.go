package platform

// SettingsVariable is the environment variable that holds the settings file's
// path.
const SettingsVariable = "SAMPHIREWING_BOOT"

// Headers of requests and answers.
const (
	headerRequestID   = "X-Attempt-Id"
	headerDeadline    = "X-Deadline-Ms"
	headerTokenCounts = "X-Token-Usage"
	headerOutputHint  = "X-Length-Hint"
	headerLastEvent   = "Last-Event-Id"
	// headerResumes names the attempt that brought the first event of a stream that a
	// caller takes up.
	headerResumes = "Resumes"
	// headerPromptParts lists the parts of the prompt.
	headerPromptParts = "X-Prefix-Hash"
	headerKey         = "Authorization"
	// headerTenant names the organisation that holds the caller's key.
	headerTenant = "X-Tenant"
	// headerExpectInstance names the endpoint that the request is for; any
	// other endpoint rejects it.
	headerExpectInstance = "X-Expect-Instance"
	// noInstance is the name of no endpoint. An endpoint that would run a request which
	// is not meant to be run rejects it for this name in headerExpectInstance.
	noInstance = "none"
	// headerInstance names the endpoint that rejects a request for another one.
	headerInstance = "X-Instance-Id"
	// headerNotExecuted states that an endpoint did not run the request.
	headerNotExecuted = "X-Not-Executed"
	// headerRateLimit is the rate of requests per second that an endpoint takes
	// from all daemons together, as a decimal number.
	headerRateLimit = "Server-Limit"
	// headerLeaving is leavingValue in all answers of an endpoint that leaves.
	headerLeaving = "Server-Leaving"
	leavingValue  = "1"
	// headerRetryAfter is, in an endpoint's 503, the number of seconds for which it
	// wants no requests from this daemon.
	headerRetryAfter = "Retry-After"
	// headerSignature marks an endpoint's own answer.
	headerSignature = "X-Server-Signature"
	// headerEra is, in the store's answers, the number of times that it was restored
	// from a copy.
	headerEra = "Store-Era"
	// headerTrace is the W3C trace context.
	headerTrace = "Traceparent"

	keyScheme = "Bearer "
)

// reservedHeaders are set by the gateway only; callers' values are not
// forwarded.
var reservedHeaders = []string{
	headerTenant, headerExpectInstance, headerKey, headerDeadline, headerLastEvent,
	"X-Expect-Version", "X-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From", "Kv-Fetch", "X-Not-Executed",
}

// connectionHeaders apply to a single connection and are never forwarded.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// Paths served to callers and to the platform.
const (
	pathResolve = "/samphirewing/resolve"
	pathReady   = "/samphirewing/readyz"
	pathMetrics = "/metrics"

	// queryZone names the caller's zone in a directory request.
	queryZone = "Zone"
)

// pathReport is where endpoints tell their state, without a slot.
const pathReport = "/samphirewing/report"

// Paths and topics of the metadata store.
const (
	pathLogAppend = "/samphirewing/log-append"
	pathLogRead   = "/samphirewing/log-read"
	pathLogNewest = "/samphirewing/log-newest"

	// topicOperator holds the operator's documents, keyed by name.
	topicOperator    = "keyed.op"
	keyConfiguration = "config"
	// keyRollout precedes the service's name in the keys of orders and statuses.
	keyRollout = "rollout/"
	// topicStatus holds the statuses of the operator's orders, by the same keys.
	topicStatus = "keyed.status"
	// topicEndpoints holds the endpoints' own entries, keyed by endpoint name.
	topicEndpoints = "keyed.servers"
	// topicStreamVersions holds the versions of the endpoints of each pool at which
	// streams may begin, topicStreams the lists of unfinished streams, keyed by
	// instance.
	topicStreamVersions = "keyed.samphirewing-stream-versions"
	topicStreams        = "keyed.samphirewing-streams"
	// topicInstances holds the daemons' entries, keyed by instance.
	topicInstances = "keyed.samphirewing-instances"
)
