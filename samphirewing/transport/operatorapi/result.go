package operatorapi

import (
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/state/configstore"
	"github.com/samphirewing/samphirewing/language"
)

// Response is the JSON response to a text of statements.
type Response struct {
	Results []Result `json:"results"`
	// Incomplete is set when a daemon did not answer a query, or a change is
	// not in force on every live daemon yet.
	Incomplete bool `json:"incomplete"`
	// Error is the failure of the statement after those in Results. The
	// statements that follow it were not executed.
	Error *Failure `json:"error,omitempty"`
}

// Result is the result of one statement or one change set. One of Rows, Change
// and Text is set.
type Result struct {
	Rows *language.Table `json:"rows,omitempty"`
	// Unresponsive lists the daemons whose rows are missing.
	Unresponsive []Unresponsive `json:"silent,omitempty"`
	Change       *Change        `json:"change,omitempty"`
	Text         string         `json:"text,omitempty"`
}

// Unresponsive is a daemon that did not answer a query, with the reason.
type Unresponsive struct {
	Daemon instance.ID `json:"daemon"`
	Reason string      `json:"reason"`
}

// Change is the result of a change set that was accepted or, in a dry run, would
// be.
type Change struct {
	ID       string               `json:"id,omitempty"`
	DryRun   bool                 `json:"dry_run,omitempty"`
	Revision configstore.Revision `json:"revision,omitempty"`
	Objects  []configstore.Key    `json:"objects"`
	// AppliedEverywhere is set when the change is in force on every live daemon.
	AppliedEverywhere bool          `json:"in_force_everywhere"`
	Behind            []instance.ID `json:"behind,omitempty"`
}

// FailureKind classifies failures. It determines the HTTP status and the exit code
// of the command line.
type FailureKind string

// The kinds of failure.
const (
	FailureInvalid      FailureKind = "invalid"
	FailureUnauthorised FailureKind = "unauthorised"
	FailureConflict     FailureKind = "conflict"
	FailureRefused      FailureKind = "refused"
	// FailureUnavailable means that nothing was changed.
	FailureUnavailable FailureKind = "unavailable"
	// FailureUnknown means that the change may have been made.
	FailureUnknown FailureKind = "unknown"
)

// Status returns the HTTP status for the kind.
func (k FailureKind) Status() int {
	switch k {
	case FailureInvalid:
		return http.StatusBadRequest
	case FailureUnauthorised:
		return http.StatusUnauthorized
	case FailureConflict:
		return http.StatusConflict
	case FailureRefused:
		return http.StatusUnprocessableEntity
	case FailureUnavailable:
		return http.StatusServiceUnavailable
	default:
		return http.StatusGatewayTimeout
	}
}

// Failure describes the failure of a statement. Message includes the remedy.
type Failure struct {
	Kind    FailureKind `json:"kind"`
	Message string      `json:"message"`
	// Line and Column start at 1; they are zero when the failure has no position
	// in the text.
	Line    int    `json:"line,omitempty"`
	Column  int    `json:"column,omitempty"`
	Excerpt string `json:"excerpt,omitempty"`
	// Object, ChangedBy and Revision describe the object in conflict.
	Object    configstore.Key      `json:"object,omitempty"`
	ChangedBy string               `json:"changed_by,omitempty"`
	Revision  configstore.Revision `json:"revision,omitempty"`
}

func (f *Failure) writeText(w io.Writer) {
	fmt.Fprintf(w, "error (%s): %s\n", f.Kind, f.Message)
	if f.Excerpt != "" {
		fmt.Fprintln(w, "  "+strings.ReplaceAll(f.Excerpt, "\n", "\n  "))
	}
}

func (r Result) incomplete() bool {
	return len(r.Unresponsive) > 0 || (r.Change != nil && len(r.Change.Behind) > 0)
}

func (r Result) writeText(w io.Writer) {
	switch {
	case r.Rows != nil:
		_ = r.Rows.WriteText(w)
		for _, s := range r.Unresponsive {
			fmt.Fprintf(w, "NOT COMPLETE: %s did not answer (%s)\n", s.Daemon, s.Reason)
		}
	case r.Change != nil:
		r.Change.writeText(w)
	default:
		fmt.Fprintln(w, strings.TrimSuffix(r.Text, "\n"))
	}
}

func (c *Change) writeText(w io.Writer) {
	objects := make([]string, 0, len(c.Objects))
	for _, o := range c.Objects {
		objects = append(objects, string(o))
	}
	list := strings.Join(objects, ", ")
	switch {
	case c.DryRun:
		fmt.Fprintf(w, "dry run: would be accepted; it changes %s\n", list)
	case c.AppliedEverywhere:
		fmt.Fprintf(w, "accepted as revision %s, in force on every live daemon; changed %s\n", c.Revision, list)
	case len(c.Behind) > 0:
		fmt.Fprintf(w, "accepted as revision %s; changed %s\n", c.Revision, list)
		for _, b := range c.Behind {
			fmt.Fprintf(w, "NOT YET IN FORCE on %s; look at `show daemons`\n", b)
		}
	default:
		fmt.Fprintf(w, "accepted as revision %s, without waiting for other daemons; changed %s\n", c.Revision, list)
	}
}

func (r Response) writeText(w io.Writer) {
	for i, result := range r.Results {
		if i > 0 {
			fmt.Fprintln(w)
		}
		result.writeText(w)
	}
	if r.Error == nil {
		return
	}
	if len(r.Results) > 0 {
		fmt.Fprintln(w)
	}
	r.Error.writeText(w)
}
