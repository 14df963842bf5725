package composer_test

import (
	"net/http"
	"testing"

	"github.com/wigeonstand/wigeonstand/platform/standin"
)

// A deadline of zero counted as none, so that the request was passed on with that of the route.
func TestRequestWithoutTimeIsNotPassedOn(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 1, 1)
	turn := turnCall("turn", "p", "", "in")
	turn.HasNoTime = true
	for _, call := range []standin.Call{
		turn, {ID: "post", Path: standin.PathPost + "x", HasNoTime: true}, {ID: "lookup", Path: standin.PathLookup + "x", HasNoTime: true},
	} {
		reply := f.do(f.instances[0], call)
		if runs := len(f.engines[0].Runs(call.ID)) + len(f.services[0].Runs(call.ID)); !reply.IsNotRun() || runs != 0 {
			t.Errorf("%s ran %d times: %+v", call.ID, runs, reply)
		}
	}
}

// A budget of zero counted as none, so that the program got as many tokens as it asked for.
func TestProgramWithEmptyBudgetGetsNoTokens(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 1, 0)
	call := turnCall("turn", "p", "", "in")
	call.Budget, call.HasEmptyBudget = 0, true
	if reply := f.doOnceStoreAnswers(f.instances[0], call); reply.Status != http.StatusPaymentRequired || len(f.engines[0].Runs(call.ID)) != 0 {
		t.Errorf("%+v", reply)
	}
}
