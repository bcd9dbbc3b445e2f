package soak

import (
	"fmt"
	"html"
	"net/http"
	"strings"
)

// Scales of the plot: pixels, pixels per second of time, pixels per second of latency.
const (
	plotWidth, plotHeight = 1000, 200
	plotTimeScale         = 20
	plotLatencyScale      = 50
)

// reportPage returns an HTML page with latency and outcomes over time, the faults, and
// the problems with the records that prove them.
func reportPage(records []record, problems []string) string {
	h := newHistory(records)
	var b strings.Builder
	fmt.Fprintf(&b, "<!doctype html><meta charset=utf-8><title>soak %d</title><h1>Soak, seed %d</h1>", *seedFlag, *seedFlag)
	fmt.Fprintf(&b, "<p>%d requests, %d problems</p><svg width=%d height=%d style='border:1px solid'>", len(h.requests), len(problems), plotWidth, plotHeight)
	for _, s := range h.faults {
		fmt.Fprintf(&b, "<rect x=%.0f y=0 width=%.0f height=%d fill='rgba(200,0,0,.08)'><title>%s</title></rect>",
			s.from.Seconds()*plotTimeScale, max((s.to-s.from).Seconds()*plotTimeScale, 2), plotHeight, html.EscapeString(s.String()))
	}
	for _, r := range h.requests {
		y := plotHeight - min((h.endOf(r)-r.sent.at).Seconds()*plotLatencyScale, plotHeight)
		fmt.Fprintf(&b, "<circle cx=%.1f cy=%.1f r=1.5 fill=%s />", r.sent.at.Seconds()*plotTimeScale, y, r.color())
	}
	fmt.Fprintf(&b, "</svg><p>Time to the right, %d px a second; latency upwards, %d px a second. Green: served; orange: refused; grey: given up; red: failed. "+
		"Faults are shaded.</p>", plotTimeScale, plotLatencyScale)
	for _, p := range problems {
		fmt.Fprintf(&b, "<pre>%s</pre>", html.EscapeString(p))
	}
	b.WriteString("<h2>Faults</h2><pre>")
	for _, s := range h.faults {
		b.WriteString(html.EscapeString(s.String()) + "\n")
	}
	b.WriteString("</pre>")
	return b.String()
}

// color returns the color of a request in the plot.
func (r *request) color() string {
	switch {
	case r.left.present():
		return "grey"
	case r.status() == http.StatusServiceUnavailable:
		return "orange"
	case r.success() && r.complete():
		return "green"
	}
	return "red"
}

func (s span) String() string {
	return fmt.Sprintf("%6.2fs to %6.2fs %s %s", s.from.Seconds(), s.to.Seconds(), s.fault.event.Kind, s.fault.event.Target)
}
