package telemetry

import (
	"net/http"
	"regexp"
	"strings"

	"go.opentelemetry.io/otel/attribute"
)

// Redacted replaces a secret value.
const Redacted = "[redacted]"

// sensitiveName matches names whose values are secrets, including placement
// tokens and idempotency keys, because whoever has one can act on it. It matches
// whole words, so that counts such as cached_tokens are not redacted.
var sensitiveName = regexp.MustCompile(
	`(^|_)(authorization|cookie|token|secret|password|(x|bbw)_placement|(api|fleet|idempotency)_key)(_|$)`)

// credential matches a credential inside a text, such as an error message.
var credential = regexp.MustCompile(`(?i)\b(bearer|basic)\s+[^\s"',;]+`)

// Sensitive reports whether values under a header or attribute name are secret.
func Sensitive(name string) bool {
	return sensitiveName.MatchString(strings.ReplaceAll(strings.ToLower(name), "-", "_"))
}

// Redact returns a value without secrets, so that it may appear in logs and traces.
func Redact(name, value string) string {
	if value == "" {
		return value
	}
	if Sensitive(name) {
		return Redacted
	}
	return credential.ReplaceAllString(value, "$1 "+Redacted)
}

// Attr returns a span attribute with a redacted value.
func Attr(name, value string) attribute.KeyValue {
	return attribute.String(name, Redact(name, value))
}

// RedactHeader returns a copy of HTTP headers with redacted values.
func RedactHeader(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		for _, v := range values {
			out[name] = append(out[name], Redact(name, v))
		}
	}
	return out
}
