package platform

// SettingsVariable is the environment variable with the settings file's path.
const SettingsVariable = "SAMPHIREWING_BOOT"

// The headers of requests and answers.
const (
	headerRequestID   = "X-Attempt-Id"
	headerDeadline    = "X-Deadline-Ms"
	headerTokenCounts = "X-Token-Usage"
	headerOutputHint  = "X-Length-Hint"
	headerLastEvent   = "Last-Event-Id"
	headerKey         = "Authorization"
	// headerTenant names the organisation that holds the caller's key.
	headerTenant = "X-Tenant"
	// headerExpectInstance makes any other endpoint refuse the request.
	headerExpectInstance = "X-Expect-Instance"
	// headerNotExecuted states that an endpoint did not run the request.
	headerNotExecuted = "X-Not-Executed"
	// headerSignature marks an endpoint's own answer.
	headerSignature = "X-Server-Signature"
	// headerTrace is the W3C trace context.
	headerTrace = "Traceparent"

	keyScheme = "Bearer "
)

// reservedHeaders are the system's to set; what callers send under these names
// is dropped.
var reservedHeaders = []string{
	headerTenant, headerExpectInstance, headerKey, headerDeadline, headerLastEvent,
	"X-Expect-Version", "X-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From", "Kv-Fetch", "X-Not-Executed",
}

// connectionHeaders concern one connection and are never passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// The paths that callers and the platform ask for.
const (
	pathResolve = "/samphirewing/resolve"
	pathReady   = "/samphirewing/readyz"
	pathMetrics = "/metrics"
)

// The paths and topics of the metadata store.
const (
	pathLogAppend = "/samphirewing/log-append"
	pathLogRead   = "/samphirewing/log-read"
	pathLogNewest = "/samphirewing/log-newest"

	// topicOperator holds the operator's documents by name.
	topicOperator    = "keyed.op"
	keyConfiguration = "config"
	// topicEndpoints holds the endpoints' own entries by endpoint name.
	topicEndpoints = "keyed.servers"
	// topicInstances holds our daemons' entries by instance.
	topicInstances = "keyed.samphirewing-instances"
)
