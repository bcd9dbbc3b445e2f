package configdiff

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/klauspost/compress/zstd"
	"pgregory.net/rapid"

	"github.com/bluebellwell/bluebellwell/internal/logpos"
	_ "github.com/bluebellwell/bluebellwell/internal/testseed"
)

var start = time.Date(2026, 12, 6, 0, 0, 0, 0, time.UTC)

// largeConfig returns a configuration of 1,850 routes, in which one route in n is of this version.
func largeConfig(version, n int) []byte {
	r := rand.New(rand.NewPCG(1, 2))
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%d,"routes":[`, version)
	for i := range 1850 {
		timeout := r.IntN(1000) * 10
		if n > 0 && i%n == 1 {
			timeout = version*1000 + i
		}
		fmt.Fprintf(&b, `{"name":"route-%d","host":"h-%d.example","path":"/p/%d","kind":"safe","timeoutMs":%d,"objective":400,`+
			`"priority":%d,"pool":"pool-%d","attempts":2,"regions":["south","north"]},`,
			i, r.IntN(100000), r.IntN(1000000), timeout, r.IntN(5), r.IntN(40))
	}
	b.WriteString("{}]}")
	return []byte(b.String())
}

func made(t *testing.T, base, text []byte) Difference {
	t.Helper()
	d, err := Make(base, text)
	if err != nil {
		t.Fatal(err)
	}
	d.Position, d.Next = logpos.Position{Era: 4, Offset: 7}, logpos.Position{Era: 4, Offset: 8}
	return d
}

// Guards against differences of usual changes of a large configuration that take many datagrams, and against one of
// most of its text that is sent.
func TestDifferencesOfALargeConfigurationAreSmall(t *testing.T) {
	base := largeConfig(1, 0)
	for _, c := range []struct{ everyNth, parts int }{{0, 1}, {1850, 1}, {50, 1}, {10, 3}} {
		text := largeConfig(2, c.everyNth)
		d := made(t, base, text)
		if got := len(d.Split()); got > c.parts {
			t.Errorf("%d datagrams for one changed route in %d, want at most %d", got, c.everyNth, c.parts)
		}
		if got, err := d.Apply(base); err != nil || !bytes.Equal(got, text) {
			t.Errorf("one changed route in %d: the difference does not lead to the text: %v", c.everyNth, err)
		}
	}
	random := make([]byte, MaxPayloadBytes+100)
	for i := range random {
		random[i] = byte(rand.IntN(256))
	}
	if _, err := Make(base, random); !errors.Is(err, ErrTooLarge) {
		t.Errorf("error %v for an unrelated text, want %v", err, ErrTooLarge)
	}
	if _, err := Make(make([]byte, MaxTextBytes+1), base); !errors.Is(err, ErrTooLarge) {
		t.Errorf("error %v for a large text, want %v", err, ErrTooLarge)
	}
}

// Guards against a difference that does not lead to the text it was made of, for any texts.
func TestDifferencesLeadToTheirText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := rapid.SliceOfN(rapid.Byte(), 1, 4000).Draw(t, "base")
		text := slices.Clone(base)
		if at := rapid.IntRange(0, len(base)).Draw(t, "at"); rapid.Bool().Draw(t, "insert") {
			text = slices.Insert(text, at, rapid.SliceOfN(rapid.Byte(), 0, 500).Draw(t, "inserted")...)
		} else {
			text = append(text[at:], text[:at]...)
		}
		d, err := Make(base, text)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := d.Apply(base); err != nil || !bytes.Equal(got, text) {
			t.Fatalf("the difference does not lead to the text: %v", err)
		}
	})
}

// Guards against a difference that is applied to another text, that leads to another text, or that was changed on its way.
func TestWrongDifferencesAreNotApplied(t *testing.T) {
	base, text := largeConfig(1, 0), largeConfig(2, 50)
	d := made(t, base, text)
	if _, err := d.Apply(largeConfig(1, 7)); !errors.Is(err, ErrWrongBase) {
		t.Errorf("error %v with another base, want %v", err, ErrWrongBase)
	}
	wrong := d
	wrong.Text[3]++
	if _, err := wrong.Apply(base); !errors.Is(err, ErrWrongText) {
		t.Errorf("error %v with another hash of the result, want %v", err, ErrWrongText)
	}
	other := made(t, largeConfig(1, 3), text)
	other.Base = d.Base
	if _, err := other.Apply(base); err == nil {
		t.Error("a difference from another base was applied")
	}
	for i := range d.Payload {
		wrong := d
		wrong.Payload = slices.Clone(d.Payload)
		wrong.Payload[i] ^= 0x41
		if got, err := wrong.Apply(base); err == nil && !bytes.Equal(got, text) {
			t.Fatalf("a difference with a changed byte %d leads to another text", i)
		}
		wrong.Payload = d.Payload[:i]
		if _, err := wrong.Apply(base); err == nil {
			t.Fatalf("a difference that ends at byte %d was applied", i)
		}
	}
}

// Guards against a small payload that decodes to more memory than a router has.
func TestPayloadsThatDecodeToALotAreRejected(t *testing.T) {
	encoder, err := zstd.NewWriter(nil)
	if err != nil {
		t.Fatal(err)
	}
	d := made(t, []byte("base"), []byte("text"))
	huge := make([]byte, 200<<20)
	d.Payload, d.Text = encoder.EncodeAll(huge, nil), HashOf(huge)
	if _, err := d.Apply([]byte("base")); err == nil {
		t.Error("200 MB were decoded")
	}
}

// Guards against parts that are put together wrongly when datagrams are reordered, doubled or lost, or come from two
// readers.
func TestPartsArriveInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var differences []Difference
		var parts []Part
		for i := range rapid.IntRange(1, 4).Draw(t, "differences") {
			size := rapid.IntRange(1, MaxPayloadBytes).Draw(t, "size")
			d := Difference{Payload: bytes.Repeat([]byte{byte(i)}, size), Base: Hash{byte(i)}, Text: Hash{byte(i + 1)}}
			differences = append(differences, d)
			parts = append(parts, d.Split()...)
		}
		lost := rapid.SliceOfNDistinct(rapid.IntRange(0, len(parts)-1), 0, 2, rapid.ID[int]).Draw(t, "lost")
		order := rapid.Permutation(append(slices.Clone(parts), parts...)).Draw(t, "order")
		var c Collector
		for _, p := range order {
			if !slices.ContainsFunc(lost, func(n int) bool { return parts[n].Base == p.Base && parts[n].Index == p.Index }) {
				c.Add(start, p)
			}
		}
		for _, d := range differences {
			want := !slices.ContainsFunc(lost, func(n int) bool { return parts[n].Base == d.Base })
			got, found := c.Take(func(h Hash) bool { return h == d.Base })
			if found != want || found && !bytes.Equal(got.Payload, d.Payload) {
				t.Fatalf("difference %v: found %v, want %v", d.Base, found, want)
			}
		}
	})
}

// Guards against a faulty sender whose parts end the process or take much memory.
func TestImpossiblePartsAreIgnored(t *testing.T) {
	part := made(t, []byte("base"), []byte("text")).Split()[0]
	for name, change := range map[string]func(p *Part){
		"no parts":         func(p *Part) { p.Count = 0 },
		"too many parts":   func(p *Part) { p.Count = MaxParts + 1 },
		"index too high":   func(p *Part) { p.Index = p.Count },
		"negative index":   func(p *Part) { p.Index = -1 },
		"no data":          func(p *Part) { p.Data = nil },
		"too much data":    func(p *Part) { p.Data = make([]byte, MaxPartBytes+1) },
		"two eras":         func(p *Part) { p.Next.Era++ },
		"another payload":  func(p *Part) { p.Check++ },
		"negative offsets": func(p *Part) { p.Position.Offset = -1 },
	} {
		p := part
		change(&p)
		var c Collector
		if c.Add(start, p) {
			t.Errorf("%s: the difference is complete", name)
		}
	}
	var c Collector
	for i := range 100 {
		p := part
		p.Count, p.Check = 2, uint64(i)
		c.Add(start, p)
	}
	if len(c.list) > maxCollected {
		t.Errorf("%d differences are kept, want at most %d", len(c.list), maxCollected)
	}
}

// Guards against a router that waits for a difference that it can't apply or that is not applied in time, and against one
// that reads the store although a chain of differences is about to be applied.
func TestReachableDifferences(t *testing.T) {
	texts := [][]byte{[]byte("first"), []byte("second"), []byte("third"), []byte("fourth")}
	var c Collector
	for i := len(texts) - 2; i >= 0; i-- {
		c.Add(start, made(t, texts[i], texts[i+1]).Split()[0])
	}
	known := func(n int) func(Hash) bool { return func(h Hash) bool { return h == HashOf(texts[n]) } }
	for n, want := range []int{3, 2, 1, 0} {
		if got := len(c.Reachable(start, known(n))); got != want {
			t.Errorf("%d differences from text %d, want %d", got, n, want)
		}
	}
	if got := c.Reachable(start.Add(ApplyTime), known(0)); len(got) != 0 {
		t.Errorf("%d differences are waited for after their time", len(got))
	}
}

// Guards against texts that are kept without bound, and against a difference of a reader that has read two versions at once.
func TestTextsKeepTheLastTwo(t *testing.T) {
	var texts Texts
	if text, _ := texts.Newest(); text != nil {
		t.Error("a text before the first one")
	}
	for _, text := range []string{"first", "second", "third"} {
		texts.Add([]byte(text))
	}
	for text, want := range map[string]bool{"first": false, "second": true, "third": true} {
		if got := texts.Has(HashOf([]byte(text))); got != want {
			t.Errorf("%s is kept: %v, want %v", text, got, want)
		}
	}
	if text, hash := texts.Newest(); string(text) != "third" || hash != HashOf(text) {
		t.Errorf("newest is %s", text)
	}
	texts.Add(make([]byte, MaxTextBytes+1))
	if text, _ := texts.Newest(); text != nil || len(texts.list) > 0 {
		t.Error("a text is kept after one that is too large")
	}
}

// Guards against an empty text that counts as one that is too large.
func TestEmptyTextsHaveAnErrorOfTheirOwn(t *testing.T) {
	text := []byte("text")
	_, emptyText := Make(text, nil)
	_, emptyBase := Make(nil, text)
	_, emptyWhole := MakeWhole(nil)
	for i, err := range []error{emptyText, emptyBase, emptyWhole} {
		if !errors.Is(err, ErrEmpty) || errors.Is(err, ErrTooLarge) {
			t.Errorf("error %d is %v, want %v", i, err, ErrEmpty)
		}
	}
}

// Guards against a whole text that takes more datagrams than a starting router collects, that leads to another text, or that
// counts as a difference with a base.
func TestWholeTexts(t *testing.T) {
	text := largeConfig(1, 0)
	d, err := MakeWhole(text)
	if err != nil {
		t.Fatal(err)
	}
	parts := d.Split()
	if len(parts) <= MaxParts || len(parts) > MaxWholeParts {
		t.Errorf("%d datagrams, want more than %d and at most %d", len(parts), MaxParts, MaxWholeParts)
	}
	c := Collector{Max: 2}
	for i, p := range parts {
		if c.Add(start, p) != (i == len(parts)-1) {
			t.Fatalf("part %d of %d completes the text or the last one does not", i, len(parts))
		}
	}
	got, found := c.Take(func(h Hash) bool { return h == NoBase })
	if !found {
		t.Fatal("the text was not put together")
	}
	if result, err := got.Apply(nil); err != nil || !bytes.Equal(result, text) {
		t.Errorf("the result is another text: %v", err)
	}
	got.Text[0]++
	if _, err := got.Apply(nil); !errors.Is(err, ErrWrongText) {
		t.Errorf("error %v with another hash, want %v", err, ErrWrongText)
	}
	random := make([]byte, MaxWholeParts*MaxPartBytes+1)
	for i := range random {
		random[i] = byte(rand.IntN(256))
	}
	if _, err := MakeWhole(random); !errors.Is(err, ErrTooLarge) {
		t.Errorf("error %v for a large text, want %v", err, ErrTooLarge)
	}
}
