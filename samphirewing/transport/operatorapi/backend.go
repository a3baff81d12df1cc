// Package operatorapi implements the HTTP interface for operators. It executes
// statements of the operators' language and responds with tables or JSON.
package operatorapi

import (
	"context"

	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/state/configstore"
	"github.com/samphirewing/samphirewing/language"
	"github.com/samphirewing/samphirewing/state/structs"
)

// Backend is the daemon that executes the operators' statements.
type Backend interface {
	// View returns the configuration that is current on this daemon.
	View() configstore.View
	// Commit publishes a change set and returns its verdict. If wait is set, it
	// returns when the change is in force on every live daemon or when ctx is
	// done, and the result names the daemons that have not reported the change.
	// Errors are those of replication.Runner's Commit.
	Commit(ctx context.Context, c configstore.ChangeSet, wait bool) (CommitResult, error)
	// Query asks all daemons for the rows of a subject that is not part of the
	// configuration. The result names the daemons that do not answer in time.
	Query(ctx context.Context, q language.Query) (QueryResult, error)
	// Resolve records the outcome of a booking whose outcome is unknown. Errors
	// are those of journal.Journal's Resolve.
	Resolve(ctx context.Context, r Resolution) error
}

// CommitResult is the result of committing one change set.
type CommitResult struct {
	Verdict configstore.Verdict
	// Behind lists, in order, the live daemons that have not reported the
	// revision as in force yet. It is empty when the commit did not wait.
	Behind []instance.ID
}

// QueryResult holds the rows of each daemon that answered, and the daemons that
// did not.
type QueryResult struct {
	Answered     []DaemonRows
	Unresponsive []UnresponsiveDaemon
}

// DaemonRows holds the rows of one daemon. The cells of a row are in the order of
// the subject's columns.
type DaemonRows struct {
	Daemon instance.ID
	Rows   []language.Row
}

// UnresponsiveDaemon is a daemon that did not answer a query, with the reason.
type UnresponsiveDaemon struct {
	Daemon instance.ID
	Reason string
}

// Resolution is the outcome that an operator assigns to a booking.
type Resolution struct {
	Service structs.Target
	Key     string
	Outcome structs.Outcome
	// Author is the operator's name.
	Author string
}
