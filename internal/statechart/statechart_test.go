package statechart

import (
	"errors"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/bluebellwell/bluebellwell/internal/findings"
)

var charts = map[string]*Chart{
	"Router": Router(), "Engine": Engine(), "Order": Order(), "NonRepeatable": NonRepeatable(),
}

// Guards against constants that differ from the names in a chart.
func TestConstantsMatchCharts(t *testing.T) {
	source, err := os.ReadFile("names.go")
	if err != nil {
		t.Fatal(err)
	}
	for prefix, chart := range charts {
		var states, events []string
		constant := regexp.MustCompile(`(?m)^\t` + prefix + `\w+ +(State|Event) += "(\w+)"$`)
		for _, m := range constant.FindAllStringSubmatch(string(source), -1) {
			if m[1] == "State" {
				states = append(states, m[2])
			} else {
				events = append(events, m[2])
			}
		}
		slices.Sort(states)
		slices.Sort(events)
		if !slices.Equal(states, toStrings(chart.States())) || !slices.Equal(events, toStrings(chart.Events())) {
			t.Errorf("%s: constants %v %v, chart %v %v", prefix, states, events, chart.States(), chart.Events())
		}
	}
}

func toStrings[T ~string](names []T) []string {
	var out []string
	for _, n := range names {
		out = append(out, string(n))
	}
	return out
}

// Guards against a chart that leads to a wrong state on the paths that other
// packages rely on, and against a state that no path enters.
func TestTransitionPaths(t *testing.T) {
	paths := []struct {
		chart  *Chart
		events []Event
		want   []State
	}{
		{Router(), []Event{RouterVMListReadEvent, RouterCurrentEvent, RouterNotCurrentEvent, RouterCurrentEvent, RouterStopEvent, RouterCurrentEvent, RouterStreamsDoneEvent, RouterClosedEvent},
			[]State{RouterSyncing, RouterReady, RouterNotReady, RouterReady, RouterStopping, RouterStopping, RouterDrained, RouterStopped}},
		{Router(), []Event{RouterStopEvent, RouterDrainExpiredEvent, RouterStopNowEvent},
			[]State{RouterStopping, RouterDrained, RouterStopped}},
		{Engine(), []Event{EngineFailedEvent, EngineAnsweredEvent, EngineFailedEvent, EngineSuspicionExpiredEvent, EngineAnsweredEvent, EngineFailedEvent, EngineAnsweredEvent, EngineHoldElapsedEvent},
			[]State{EngineSuspect, EngineUp, EngineSuspect, EngineDown, EngineDamped, EngineDown, EngineDamped, EngineUp}},
		{Engine(), []Event{EngineListedLeavingEvent, EngineAnsweredEvent, EngineRelistedEvent, EngineUnlistedEvent, EngineAnsweredEvent},
			[]State{EngineLeaving, EngineLeaving, EngineDamped, EngineGone, EngineGone}},
		{Order(), []Event{OrderSendEvent, OrderNoAnswerEvent, OrderStateDiffersEvent, OrderRepairAcceptedEvent, OrderStateDiffersEvent, OrderStateMatchesEvent, OrderNewerOrderEvent},
			[]State{OrderSent, OrderUnknown, OrderUnknown, OrderRepaired, OrderUnknown, OrderConfirmed, OrderSuperseded}},
		{Order(), []Event{OrderSendEvent, OrderLeaseLostEvent, OrderFencedEvent},
			[]State{OrderSent, OrderUnknown, OrderSuperseded}},
		{Order(), []Event{OrderSendEvent, OrderAcceptedEvent, OrderEngineGoneEvent},
			[]State{OrderSent, OrderConfirmed, OrderFailed}},
		{NonRepeatable(), []Event{NonRepeatableAppendIntentEvent, NonRepeatableIntentWonEvent, NonRepeatableDispatchEvent, NonRepeatableDialRefusedEvent, NonRepeatableDispatchEvent, NonRepeatableAnsweredEvent},
			[]State{NonRepeatableIntentPending, NonRepeatableWon, NonRepeatableDispatched, NonRepeatableWon, NonRepeatableDispatched, NonRepeatableDone}},
		{NonRepeatable(), []Event{NonRepeatableAppendIntentEvent, NonRepeatableRefusedEvent, NonRepeatableIntentWonEvent, NonRepeatableDispatchEvent, NonRepeatableVoidedEvent, NonRepeatableHolderLostEvent},
			[]State{NonRepeatableIntentPending, NonRepeatableIntentPending, NonRepeatableWon, NonRepeatableDispatched, NonRepeatableDispatched, NonRepeatableUnknown}},
		{NonRepeatable(), []Event{NonRepeatableAppendIntentEvent, NonRepeatableIntentLostEvent}, []State{NonRepeatableIntentPending, NonRepeatableDuplicate}},
		{NonRepeatable(), []Event{NonRepeatableAppendIntentEvent, NonRepeatableVoidedEvent}, []State{NonRepeatableIntentPending, NonRepeatableNotRun}},
		{NonRepeatable(), []Event{NonRepeatableKeyExpiredEvent}, []State{NonRepeatableUnknown}},
	}
	entered := map[string]bool{}
	for _, p := range paths {
		m := NewMachine(p.chart)
		entered[p.chart.Name()+"/"+string(m.State())] = true
		for i, event := range p.events {
			if _, err := m.Fire(event); err != nil || m.State() != p.want[i] {
				t.Fatalf("%s step %d, %s: state %s, error %v, want %s", p.chart.Name(), i, event, m.State(), err, p.want[i])
			}
			entered[p.chart.Name()+"/"+string(m.State())] = true
		}
	}
	for _, chart := range charts {
		for _, s := range chart.States() {
			if !entered[chart.Name()+"/"+string(s)] {
				t.Errorf("%s: no path enters %s", chart.Name(), s)
			}
		}
	}
}

// Guards against an edit of the chart that lets a dispatched request become
// not_run.
func TestDispatchedNeverNotRun(t *testing.T) {
	for _, event := range NonRepeatable().Events() {
		if next, _ := NonRepeatable().Next(NonRepeatableDispatched, event); next == NonRepeatableNotRun {
			t.Errorf("event %s leads from dispatched to not_run", event)
		}
	}
}

// Guards against an invalid chart that is accepted, or of which only some problems
// are reported.
func TestLoadFindsEveryProblem(t *testing.T) {
	cases := map[string][]string{
		`{"name":"x","initial":"a","states":{"a":{"on":{"go":"b","up":"zz"},"ignore":["go"]},"b":{"on":{"go":"b"}},"c":{"final":true,"ignore":["go"]}}}`: {
			"$.states.a.ignore conflict", "$.states.a.on.up invalid", "$.states.b missing",
			"$.states.c conflict", "$.states.c invalid", "$.states.a invalid", "$.states.b invalid"},
		`{"name":"x","initial":"a","states":{"a":{"on":{"go":"a","go":"b"}},"b":{"final":true},"a":{"on":{"go":"b"}}}}`: {
			"$.states.a.on.go conflict", "$.states.a conflict"},
		`{"initial":"q","states":{}}`:             {"$.name missing", "$.initial invalid"},
		`{"name":"x","initial":"a","more":1}`:     {"$ syntax"},
		`{"name":"x","states":{"a":null}}`:        {"$.states.a invalid"},
		`{"name":"x","initial":"a","states":{}}1`: {"$ syntax"},
	}
	for data, want := range cases {
		_, err := Load("x.json", []byte(data))
		var e *findings.Error
		if !errors.As(err, &e) {
			t.Errorf("%s: got %v, want findings", data, err)
			continue
		}
		var got []string
		for _, f := range e.Findings {
			got = append(got, f.Path+" "+string(f.Code))
		}
		if !slices.Equal(got, want) {
			t.Errorf("%s: got %s, want %s", data, strings.Join(got, ", "), strings.Join(want, ", "))
		}
	}
}

// Guards against an unexpected event that changes the state, and against a hook
// that runs for an ignored event.
func TestMachine(t *testing.T) {
	m := NewMachine(Router())
	var calls []string
	m.OnEntry(RouterStopping, func(from State, event Event) { calls = append(calls, string(from)+"/"+string(event)) })
	_, err := m.Fire("no_such_event")
	var unexpected *EventError
	if !errors.As(err, &unexpected) || m.State() != RouterStarting {
		t.Fatalf("got %v in state %s, want an EventError in state starting", err, m.State())
	}
	for range 2 {
		if _, err := m.Fire(RouterStopEvent); err != nil {
			t.Fatal(err)
		}
	}
	if !slices.Equal(calls, []string{"starting/stop"}) || m.IsFinal() {
		t.Fatalf("hook calls %v, final %t; want one call and not final", calls, m.IsFinal())
	}
}
