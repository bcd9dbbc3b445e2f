package intent

import (
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/peerpb"
	"github.com/bluebellwell/bluebellwell/internal/statechart"
)

var (
	testID   = KeyID("w", "k")
	foldTime = time.UnixMilli(1_700_000_000_000)
)

func intentRecord(uid string, gen uint32) string {
	return encode(&peerpb.IntentRecord{Kind: &peerpb.IntentRecord_Intent{Intent: &peerpb.Intent{
		Id: testID[:], Uid: uid, Generation: gen, IssuedUnixMs: foldTime.UnixMilli()}}})
}

func voidRecord(uid string, gen uint32) string {
	return encode(&peerpb.IntentRecord{Kind: &peerpb.IntentRecord_Void{Void: &peerpb.Void{
		Id: testID[:], Uid: uid, Generation: gen, IssuedUnixMs: foldTime.UnixMilli()}}})
}

func outcomeRecord(uid string, body string) string {
	return encode(&peerpb.IntentRecord{Kind: &peerpb.IntentRecord_Outcome{Outcome: &peerpb.RunOutcome{
		Id: testID[:], Uid: uid, Body: []byte(body)}}})
}

// Guards against fold rules that let a second holder run a key, free a key that
// may have run, or block a key that no router runs.
func TestFoldRules(t *testing.T) {
	cases := []struct {
		name    string
		records []string
		gen     uint32
		holder  string
		done    bool
	}{
		{"lowest offset wins", []string{intentRecord("a", 1), intentRecord("b", 1)}, 1, "a", false},
		{"void of a free generation", []string{voidRecord("a", 1), intentRecord("b", 2)}, 2, "b", false},
		{"late intent of a closed generation", []string{voidRecord("a", 1), intentRecord("b", 1)}, 2, "", false},
		{"intent of a later generation", []string{intentRecord("a", 2)}, 1, "", false},
		{"late intent of a withdrawn uid", []string{voidRecord("a", 1), intentRecord("a", 2)}, 2, "", false},
		{"uid withdrawn while another holds", []string{intentRecord("a", 1), voidRecord("b", 1), voidRecord("a", 1), intentRecord("b", 2)}, 2, "", false},
		{"void of another holder", []string{intentRecord("a", 1), voidRecord("b", 1)}, 1, "a", false},
		{"void by the holder", []string{intentRecord("a", 1), voidRecord("a", 1)}, 2, "", false},
		{"repeated void", []string{voidRecord("a", 1), voidRecord("a", 2)}, 2, "", false},
		{"void after the outcome", []string{intentRecord("a", 1), outcomeRecord("a", "x"), voidRecord("a", 1)}, 1, "a", true},
		{"outcome of the holder", []string{intentRecord("a", 1), outcomeRecord("a", "x"), outcomeRecord("a", "y")}, 1, "a", true},
		{"outcome of another uid", []string{intentRecord("a", 1), outcomeRecord("b", "x")}, 1, "a", false},
		{"outcome of a withdrawn uid", []string{intentRecord("a", 1), voidRecord("a", 1), outcomeRecord("a", "x")}, 2, "", false},
		{"no record", []string{"\xff\xff", ""}, 0, "", false},
	}
	for _, c := range cases {
		f := NewFold(modelLimits, 0)
		for i, r := range c.records {
			f.Apply(uint64(i), foldTime, []byte(r))
		}
		e, _ := f.Lookup(testID)
		if e.Generation != c.gen || e.Holder != c.holder || (e.Outcome != nil) != c.done {
			t.Errorf("%s: got %+v", c.name, e)
		}
		if e.Holder != "" && e.Fencing == 0 {
			t.Errorf("%s: no fencing number for the backend server", c.name)
		}
		if c.done && string(e.Outcome.Body) != "x" {
			t.Errorf("%s: the outcome is %q, want the first", c.name, e.Outcome.Body)
		}
	}
}

// Guards against an intent that claims a key after other routers have dropped
// its entry, and against entries that are never dropped.
func TestFoldWindow(t *testing.T) {
	for offset, want := range map[time.Duration]bool{
		-DefaultMargin:                    true,
		-DefaultMargin - time.Millisecond: false,
		DefaultWindow:                     true,
		DefaultWindow + time.Millisecond:  false,
	} {
		f := NewFold(modelLimits, 0)
		if got := f.Apply(0, foldTime.Add(offset), []byte(intentRecord("a", 1))); got != want {
			t.Errorf("intent at %v: effect %t", offset, got)
		}
	}
	f := NewFold(modelLimits, 0)
	f.Apply(0, foldTime, []byte(intentRecord("a", 1)))
	f.Apply(1, foldTime.Add(modelLimits.retention()), nil)
	kept := f.Len()
	f.Apply(2, foldTime.Add(modelLimits.retention()+time.Millisecond), nil)
	if kept != 1 || f.Len() != 0 {
		t.Errorf("%d entries at the limit, want 1; %d after it, want none", kept, f.Len())
	}
}

// Guards against a dispatch by a router that has abandoned its uid, and against
// a refusal as not_run after the call may have reached an owner.
func TestBeginAfterLostReply(t *testing.T) {
	b := newBeginExchange(&peerpb.IntentCall{Op: peerpb.IntentOp_INTENT_OP_BEGIN, Uid: "a"})
	b.recordLostReply()
	b.recordReply(&peerpb.IntentReply{State: peerpb.IntentState_INTENT_STATE_WON})
	b.recordNotSent(DetailNotOwner)
	if b.finished() || b.nextCall().Op != peerpb.IntentOp_INTENT_OP_QUERY {
		t.Fatalf("state %s, next call %v; want a query", b.machine.State(), b.nextCall().Op)
	}
	for range maxUnsent {
		b.recordNotSent(DetailNotOwner)
	}
	b.expire(DetailLogUnavailable)
	r, withdraw, err := b.result()
	if err != nil || !withdraw || b.machine.State() != statechart.NonRepeatableUnknown || r.State != peerpb.IntentState_INTENT_STATE_UNKNOWN {
		t.Fatalf("got %v, withdrawn %t, %v; want unknown and withdrawn", r, withdraw, err)
	}
}
