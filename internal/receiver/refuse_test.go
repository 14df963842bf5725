package receiver_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/receiver"
	"github.com/wigeonstand/wigeonstand/internal/requester"
)

const turns = "/v1/programs/p1/turns"

func TestBadInputIsRefusedBeforeTheOwner(t *testing.T) {
	with := func(name, value string) map[string]string { return map[string]string{name: value} }
	deep := strings.Repeat("[", 20) + strings.Repeat("]", 20)
	tests := map[string]struct {
		ask  ask
		want answerer.Kind
	}{
		"NoKey":            {ask{method: "POST", path: turns, header: with("Authorization", "")}, answerer.Unauthenticated},
		"NotBearer":        {ask{method: "POST", path: turns, header: with("Authorization", "Basic key")}, answerer.Unauthenticated},
		"UnknownKey":       {ask{method: "POST", path: turns, header: with("Authorization", "Bearer nobody")}, answerer.Unauthenticated},
		"HashAsKey":        {ask{method: "POST", path: turns, header: with("Authorization", "Bearer "+hashOf("key"))}, answerer.Unauthenticated},
		"SharedKey":        {ask{method: "POST", path: turns, header: with("Authorization", "Bearer shared")}, answerer.Unauthenticated},
		"NoBody":           {ask{method: "POST", path: turns}, answerer.BadRequest},
		"NotJSON":          {ask{method: "POST", path: turns, body: `{"Input":`}, answerer.BadRequest},
		"NotAnObject":      {ask{method: "POST", path: turns, body: `[]`}, answerer.BadRequest},
		"Null":             {ask{method: "POST", path: turns, body: `null`}, answerer.BadRequest},
		"TwoValues":        {ask{method: "POST", path: turns, body: `{"Input":"x"}{}`}, answerer.BadRequest},
		"UnknownField":     {ask{method: "POST", path: turns, body: `{"Input":"x","Inputs":"y"}`}, answerer.BadRequest},
		"FieldTwice":       {ask{method: "POST", path: turns, body: `{"Input":"x","input":"y"}`}, answerer.BadRequest},
		"WrongType":        {ask{method: "POST", path: turns, body: `{"Input":1}`}, answerer.BadRequest},
		"Fraction":         {ask{method: "POST", path: turns, body: `{"Input":"x","Number":1.5}`}, answerer.BadRequest},
		"NumberTooLarge":   {ask{method: "POST", path: turns, body: `{"Input":"x","Number":99999999999999999999}`}, answerer.BadRequest},
		"NegativeNumber":   {ask{method: "POST", path: turns, body: `{"Input":"x","Number":-1}`}, answerer.BadRequest},
		"NegativeTokens":   {ask{method: "POST", path: turns, body: `{"Input":"x","MaxTokens":-1}`}, answerer.BadRequest},
		"EmptyInput":       {ask{method: "POST", path: turns, body: `{}`}, answerer.BadRequest},
		"BadKey":           {ask{method: "POST", path: turns, body: `{"Input":"x","Key":"a b"}`}, answerer.BadRequest},
		"BadChain":         {ask{method: "POST", path: turns, body: `{"Input":"x","Chain":"\n"}`}, answerer.BadRequest},
		"TooDeep":          {ask{method: "POST", path: turns, body: `{"Input":` + deep + `}`}, answerer.BadRequest},
		"NotUTF8":          {ask{method: "POST", path: turns, body: "{\"Input\":\"\xff\"}"}, answerer.BadRequest},
		"ContentType":      {ask{method: "POST", path: turns, body: `{"Input":"x"}`, header: with("Content-Type", "text/plain")}, answerer.BadRequest},
		"NoContentType":    {ask{method: "POST", path: turns, body: `{"Input":"x"}`, header: with("Content-Type", "")}, answerer.BadRequest},
		"TooLarge":         {ask{method: "POST", path: turns, body: `{"Input":"` + strings.Repeat("x", 2000) + `"}`}, answerer.TooLarge},
		"Timeout":          {ask{method: "GET", path: "/v1/outcomes/k", header: with("Wigeonstand-Timeout", "soon")}, answerer.BadRequest},
		"ZeroTimeout":      {ask{method: "GET", path: "/v1/outcomes/k", header: with("Wigeonstand-Timeout", "0s")}, answerer.BadRequest},
		"NegativeTimeout":  {ask{method: "GET", path: "/v1/outcomes/k", header: with("Wigeonstand-Timeout", "-1s")}, answerer.BadRequest},
		"BadProgram":       {ask{method: "GET", path: "/v1/programs/P1/history"}, answerer.BadRequest},
		"DotsInProgram":    {ask{method: "GET", path: "/v1/programs/a.b.c/history"}, answerer.BadRequest},
		"SlashInProgram":   {ask{method: "GET", path: "/v1/programs/a%2Fb/history"}, answerer.BadRequest},
		"LongProgram":      {ask{method: "GET", path: "/v1/programs/" + strings.Repeat("a", 65) + "/history"}, answerer.BadRequest},
		"BadAfter":         {ask{method: "GET", path: "/v1/programs/p1/history?After=x"}, answerer.BadRequest},
		"NegativeAfter":    {ask{method: "GET", path: "/v1/programs/p1/history?After=-1"}, answerer.BadRequest},
		"BadOutcome":       {ask{method: "GET", path: "/v1/outcomes/a%20b"}, answerer.BadRequest},
		"BodyNotExpected":  {ask{method: "DELETE", path: "/v1/programs/p1", body: "{}"}, answerer.BadRequest},
		"BadAgent":         {ask{method: "POST", path: "/v1/programs", body: `{"Agent":"a/b"}`}, answerer.BadRequest},
		"NegativeBudget":   {ask{method: "POST", path: "/v1/programs", body: `{"Agent":"a","Budget":-1}`}, answerer.BadRequest},
		"BadParent":        {ask{method: "POST", path: "/v1/programs", body: `{"Agent":"a","Parent":"../x"}`}, answerer.BadRequest},
		"BadOpenKey":       {ask{method: "POST", path: "/v1/programs", body: `{"Agent":"a","Key":"é"}`}, answerer.BadRequest},
		"UnknownService":   {ask{method: "POST", path: "/v1/services/none/x"}, answerer.NotFound},
		"ServiceOfAnother": {ask{method: "POST", path: "/v1/services/dockets/x", header: with("Wigeonstand-Key", "k")}, answerer.NotFound},
		"KeyRequired":      {ask{method: "POST", path: "/v1/services/fees/x"}, answerer.BadRequest},
		"BadCallKey":       {ask{method: "POST", path: "/v1/services/fees/x", header: with("Wigeonstand-Key", "a b")}, answerer.BadRequest},
		"BadCallProgram":   {ask{method: "GET", path: "/v1/services/lookup/x", header: with("Wigeonstand-Program", "A")}, answerer.BadRequest},
		"CallTooLarge":     {ask{method: "POST", path: "/v1/services/lookup/x", body: strings.Repeat("x", 2000)}, answerer.TooLarge},
		"DottedPath":       {ask{method: "GET", path: "/v1/services/lookup/../fees/x"}, answerer.BadRequest},
		"EncodedDots":      {ask{method: "GET", path: "/v1/services/lookup/%2e%2e/x"}, answerer.BadRequest},
		"EmptySegment":     {ask{method: "GET", path: "/v1//programs"}, answerer.BadRequest},
		"UnknownPath":      {ask{method: "GET", path: "/v2"}, answerer.NotFound},
		"UnknownMethod":    {ask{method: "PATCH", path: turns}, answerer.NotFound},
		"CallMethod":       {ask{method: "TRACE", path: "/v1/services/lookup/x"}, answerer.NotFound},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newReceiver(func(_ context.Context, command requester.Command, _ requester.Sink) (requester.Reply, error) {
				t.Errorf("the owner was asked: %+v", command)
				return requester.Reply{}, nil
			}, receiver.WithBodyLimit(1000, time.Second))
			recorder := record(r, test.ask)
			refusal := refusalOf(t, recorder.Body.Bytes())
			if diff := cmp.Diff(test.want, refusal.Kind); diff != "" {
				t.Errorf("%s: %s", refusal.Detail, diff)
			}
			if diff := cmp.Diff(answerer.NotRun, refusal.Ran); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(answerer.Lookup(test.want).Status, recorder.Code); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestMissingKeyNamesTheHeader(t *testing.T) {
	recorder := record(newReceiver(answerAll), ask{method: "POST", path: "/v1/services/fees/x"})
	if !strings.Contains(recorder.Body.String(), "Wigeonstand-Key") {
		t.Error(recorder.Body)
	}
}

func TestNothingIsServedBeforeAVersionIsInForce(t *testing.T) {
	r := receiver.New(doFunc(answerAll), func() *compiler.Version { return nil })
	recorder := record(r, ask{method: "GET", path: "/v1/outcomes/k"})
	if diff := cmp.Diff(answerer.StoreUnavailable, refusalOf(t, recorder.Body.Bytes()).Kind); diff != "" {
		t.Error(diff)
	}
}

func TestTimeoutIsBounded(t *testing.T) {
	for header, want := range map[string]time.Duration{"": time.Second, "1500ms": 1500 * time.Millisecond, "9h": 2 * time.Second} {
		r := newReceiver(func(ctx context.Context, command requester.Command, sink requester.Sink) (requester.Reply, error) {
			if diff := cmp.Diff(want, command.Timeout); diff != "" {
				t.Error(diff)
			}
			return answerAll(ctx, command, sink)
		}, receiver.WithTimeouts(time.Second, 2*time.Second))
		record(r, ask{method: "GET", path: "/v1/outcomes/k", header: map[string]string{"Wigeonstand-Timeout": header}})
	}
}

func TestReadinessFollowsStopping(t *testing.T) {
	r := newReceiver(answerAll)
	ready := r.Readyz(func() error { return nil })
	for _, stopping := range []bool{false, true} {
		r.SetStopping(stopping)
		want := map[bool]int{false: http.StatusOK, true: http.StatusServiceUnavailable}[stopping]
		if diff := cmp.Diff(want, get(ready)); diff != "" {
			t.Error(diff)
		}
		recorder := record(r, ask{method: "GET", path: "/v1/outcomes/k"})
		if diff := cmp.Diff(stopping, recorder.Header().Get("Connection") == "close"); diff != "" || recorder.Code != http.StatusOK {
			t.Error(diff, recorder.Code)
		}
	}
	if diff := cmp.Diff(http.StatusOK, get(receiver.Healthz())); diff != "" {
		t.Error(diff)
	}
}
