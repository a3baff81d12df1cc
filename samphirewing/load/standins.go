package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/samphirewing/standin/directory"
	"github.com/samphirewing/samphirewing/standin/engine"
	"github.com/samphirewing/samphirewing/standin/service"
	"github.com/samphirewing/samphirewing/state/structs"
)

const (
	standInTimeout  = 30 * time.Second
	maxStandInBytes = 1 << 30
)

// countStandIns adds the stand-ins' counts of this run's requests to the report.
func (r *runner) countStandIns(ctx context.Context, report *Report) error {
	ctx, cancel := context.WithTimeout(ctx, standInTimeout)
	defer cancel()
	root := strings.TrimSuffix(r.options.StandIns, "/")
	list, err := fetchJSON[directory.List](ctx, root+directory.PathList)
	if err != nil {
		return err
	}
	arrived := make(map[structs.RequestID]int)
	runs := make(map[serviceKey]int)
	for _, s := range list.StandIns {
		switch s.Kind {
		case directory.KindEngine:
			err = addDispatches(ctx, root+s.Debug, arrived)
		case directory.KindService:
			err = addRuns(ctx, root+s.Debug, runs)
		}
		if err != nil {
			return errors.Annotate(err, s.Name)
		}
	}
	counted := r.tally.standInReport(arrived, runs)
	report.StandIns = &counted
	return nil
}

func addDispatches(ctx context.Context, base string, arrived map[structs.RequestID]int) error {
	counts, err := fetchJSON[[]engine.DispatchCount](ctx, base+engine.PathDispatches)
	for _, c := range counts {
		arrived[c.Request] += c.Arrived
	}
	return err
}

func addRuns(ctx context.Context, base string, runs map[serviceKey]int) error {
	counts, err := fetchJSON[[]service.RunCount](ctx, base+service.PathRuns)
	for _, c := range counts {
		runs[serviceKey{c.Service, c.Key}] += c.Runs
	}
	return err
}

func (t *tally) standInReport(arrived map[structs.RequestID]int, runs map[serviceKey]int) StandInReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	var report StandInReport
	for _, request := range t.accepted {
		n := 0
		for _, id := range request.ids {
			n += arrived[id]
		}
		if n > 0 {
			report.Dispatched++
		}
		if n > 1 {
			report.DispatchedTwice++
		}
		if n > 0 && request.notRun {
			report.NotRunButRan++
		}
	}
	for key, outcome := range t.keys {
		if n := runs[key]; n > 0 {
			report.KeysRun++
			if !outcome.mayHaveRun {
				report.NotRunButRan++
			}
			if n > 1 {
				report.KeysRunTwice++
			}
		}
	}
	return report
}

func fetchJSON[T any](ctx context.Context, url string) (T, error) {
	var value T
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return value, errors.Trace(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return value, errors.Trace(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return value, errors.Errorf("%s answered with status %d", url, response.StatusCode)
	}
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxStandInBytes))
	return value, errors.Annotate(decoder.Decode(&value), url)
}
