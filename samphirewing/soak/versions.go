package soak

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/samphirewing/samphirewing/standin/caller"
)

const (
	// takenUpEnough is the number of streams taken up, without a fault, from which on
	// goesOnShare of them must go on.
	takenUpEnough = 12
	goesOnShare   = 0.5
)

// versionsOf returns the versions of the engines that sent the events of an answer.
func versionsOf(o outcome) map[string]bool {
	versions := map[string]bool{}
	for _, e := range caller.ParseEvents(o.answer.Body) {
		_, engine, found := strings.Cut(e.Data, " by engine-")
		engine, version, named := strings.Cut(strings.TrimSpace(engine), "@")
		if named {
			versions[version] = true
			continue
		}
		if n, err := strconv.Atoi(engine); found && err == nil {
			versions[engineVersion(n)] = true
		}
	}
	return versions
}

// checkVersions finds streams that hold events of two versions, in one answer or over the
// attempts of their callers.
func checkVersions(index *evidenceIndex) (all []violation) {
	byStream := map[string]map[string]bool{}
	for _, o := range index.outcomes {
		if !routeByName(o.route).resumable || o.answer.Status != http.StatusOK {
			continue
		}
		first := o.id
		if o.resumes != "" {
			first = o.resumes
		}
		if byStream[first] == nil {
			byStream[first] = map[string]bool{}
		}
		for version := range versionsOf(o) {
			byStream[first][version] = true
		}
		if len(byStream[first]) > 1 {
			all = append(all, o.newViolation("events of two versions: %q", o.answer.Body))
		}
	}
	return all
}

// checkTakenUp finds that daemons refuse streams that are taken up while nothing disturbs
// them.
func checkTakenUp(index *evidenceIndex) (all []violation) {
	taken, wentOn, last := 0, 0, outcome{}
	for _, o := range index.outcomes {
		if o.resumes == "" || !o.answer.Dialled || index.isDisturbed(o.sentAt, o.endedAt, index.scopesOf(o)...) {
			continue
		}
		taken++
		last = o
		if o.answer.Status == http.StatusOK {
			wentOn++
		}
	}
	if taken >= takenUpEnough && float64(wentOn) < goesOnShare*float64(taken) {
		all = append(all, last.newViolation("of %d streams taken up %d went on", taken, wentOn))
	}
	return all
}
