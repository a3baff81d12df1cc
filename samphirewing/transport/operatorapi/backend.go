// Package operatorapi serves operators over HTTP: statements of the operators'
// language in, tables or JSON out.
package operatorapi

import (
	"context"

	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/state/configstore"
	"github.com/samphirewing/samphirewing/language"
	"github.com/samphirewing/samphirewing/state/structs"
)

// Backend is what the HTTP layer needs of the daemon behind it.
type Backend interface {
	// View returns the configuration in force on this daemon.
	View() configstore.View
	// Commit publishes a change set and returns how it was judged. With wait
	// set it returns when the change is in force on every live daemon, or when
	// the context ends, and names those that it has not heard from. The error
	// is that of replication.Runner's Commit.
	Commit(ctx context.Context, c configstore.ChangeSet, wait bool) (CommitResult, error)
	// Query asks all daemons for the rows of a subject that is not declared.
	// Daemons that do not answer in time are named in the result.
	Query(ctx context.Context, q language.Query) (QueryResult, error)
	// Resolve settles a booking whose outcome is unknown. The error is that
	// of journal.Journal's Resolve.
	Resolve(ctx context.Context, r Resolution) error
}

// CommitResult is the judgement of one change set.
type CommitResult struct {
	Verdict configstore.Verdict
	// Behind are the live daemons that have not reported the revision in
	// force yet, in order. It is empty when the commit did not wait.
	Behind []instance.ID
}

// QueryResult holds the rows of each daemon that answered.
type QueryResult struct {
	Answered     []DaemonRows
	Unresponsive []UnresponsiveDaemon
}

// DaemonRows are one daemon's rows, with the cells in the order of the
// subject's columns.
type DaemonRows struct {
	Daemon instance.ID
	Rows   []language.Row
}

// UnresponsiveDaemon is one daemon that did not answer, and why.
type UnresponsiveDaemon struct {
	Daemon instance.ID
	Reason string
}

// Resolution settles a booking.
type Resolution struct {
	Service structs.Target
	Key     string
	Outcome structs.Outcome
	// Author is the operator.
	Author string
}
