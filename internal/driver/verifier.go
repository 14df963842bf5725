package driver

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/fakeservice"
	"github.com/wigeonstand/wigeonstand/internal/generator"
)

// ServiceCounts is what one replica of a service has counted.
type ServiceCounts struct {
	Service string
	Page    fakeservice.CountsPage
}

// Verification compares a run's calls with what services have executed.
type Verification struct {
	// Calls counts the calls compared, Acknowledged those that a service
	// answered with success.
	Calls        int
	Acknowledged int
	// Executed counts calls executed once.
	Executed int
	// Unsettled counts calls neither acknowledged, executed nor refused as not run.
	Unsettled int
	// Faults lists what breaks at-most-once or a promise to the caller.
	Faults []string
}

// FetchCounts reads the counts of a service's replica.
func FetchCounts(ctx context.Context, client *http.Client, base string) (fakeservice.CountsPage, error) {
	return fetch[fakeservice.CountsPage](ctx, client, base+"/counts")
}

// fetch reads a JSON document.
func fetch[T any](ctx context.Context, client *http.Client, url string) (T, error) {
	var document T
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return document, eris.Wrap(err, "fetch")
	}
	response, err := client.Do(request)
	if err != nil {
		return document, eris.Wrap(err, "fetch")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return document, eris.Errorf("fetch: %s answered %s", url, response.Status)
	}
	return document, eris.Wrap(json.NewDecoder(response.Body).Decode(&document), "decode")
}

// EngineHoldings is what one engine holds of its cache.
type EngineHoldings struct {
	Engine string
	Report generator.HoldingReport
}

// FetchHoldings reads what an engine holds.
func FetchHoldings(ctx context.Context, client *http.Client, base string) (generator.HoldingReport, error) {
	return fetch[generator.HoldingReport](ctx, client, base+"/v1/holdings")
}

// VerifyHoldings lists what engines hold for programs of the result that have
// ended.
func VerifyHoldings(result Result, engines []EngineHoldings) []string {
	ended := map[string]bool{}
	for _, program := range result.Ended {
		ended[program] = true
	}
	var faults []string
	for _, engine := range engines {
		for _, h := range engine.Report.Holdings {
			if ended[h.Program] {
				faults = append(faults, fmt.Sprintf("%s holds %d tokens of %s, which has ended", engine.Engine, h.Tokens, h.Program))
			}
		}
	}
	return faults
}

// Verify checks that each call of the result was executed at most once, that an
// acknowledged one was executed, and that one refused as not run was not.
func Verify(result Result, counts []ServiceCounts) Verification {
	executions := countExecutions(counts)
	var v Verification
	for _, call := range result.Calls {
		v.compare(call, executions[executionKey{call.Service, call.Path}])
	}
	return v
}

// executionKey tells calls apart; a path is used for one call only.
type executionKey struct{ service, path string }

func countExecutions(counts []ServiceCounts) map[executionKey]int {
	executions := map[executionKey]int{}
	for _, service := range counts {
		for _, e := range service.Page.Executions {
			executions[executionKey{service.Service, e.Path}] += e.Count
		}
	}
	return executions
}

// compare takes in one call and how often it was executed.
func (v *Verification) compare(call Call, executed int) {
	v.Calls++
	if call.accepted() {
		v.Acknowledged++
	}
	switch {
	case executed > 1:
		v.fault(call, fmt.Sprintf("was executed %d times", executed))
	case executed == 0 && call.accepted():
		v.fault(call, "was acknowledged and not executed")
	case executed == 1 && call.Outcome == NotRun:
		v.fault(call, "was refused as not run and executed")
	case executed == 1:
		v.Executed++
	case call.Outcome != NotRun:
		v.Unsettled++
	}
}

func (v *Verification) fault(call Call, text string) {
	v.Faults = append(v.Faults, fmt.Sprintf("%s call %s (%s) %s", call.Service, call.Key, call.Outcome, text))
}
