package enginesim

import (
	"strings"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellwell/bluebellwell/internal/answer"
)

// words includes text of several bytes for each character, so that an offset
// counted in bytes is detected.
var words = []string{
	"renewal ", "domain ", "shears ", "booking ", "đàn ", "cừu ", "മല്ലി ", "ഡൊമെയ്ൻ ",
	"hall ", "status ", "lịch ", "transfer ", "paddock ", "🐑 ", "registrant ", "fleece ",
}

// charactersPerToken is the ratio that EstimateTokens assumes.
const charactersPerToken = 4

// Answer returns the text that an engine without salt generates for a prompt
// in n tokens.
func Answer(prompt string, n int) string {
	return SaltedAnswer("", prompt, n)
}

// SaltedAnswer returns the text that an engine with the given salt generates
// for a prompt in n tokens.
func SaltedAnswer(salt, prompt string, n int) string {
	var b strings.Builder
	seed := textSeed(salt, prompt)
	for i := range n {
		b.WriteString(token(seed, i))
	}
	return b.String()
}

// textSeed separates salt and prompt, so that no two pairs have the same seed
// by concatenation. Without a salt the seed is that of the prompt alone.
func textSeed(salt, prompt string) uint64 {
	if salt == "" {
		return xxhash.Sum64String(prompt)
	}
	return xxhash.Sum64String(salt + "\x00" + prompt)
}

// Prompt returns the prompt of a request: the texts of all messages, each
// followed by a line end.
func Prompt(messages []answer.Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Text())
		b.WriteByte('\n')
	}
	return b.String()
}

// EstimateTokens returns the number of prompt tokens assumed for a text when the
// request has no field x_prompt_tokens.
func EstimateTokens(text string) int {
	return (utf8.RuneCountInString(text) + charactersPerToken - 1) / charactersPerToken
}

// token mixes the seed and the index with the finalizer of splitmix64.
func token(seed uint64, i int) string {
	z := seed + uint64(i+1)*0x9e3779b97f4a7c15
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	z ^= z >> 31
	return words[z%uint64(len(words))]
}

// generatedText is a whole answer with the end position of each token.
type generatedText struct {
	text []byte
	// byteEnds[i] is the byte index after token i.
	byteEnds []int
	chars    int
}

func generate(salt, prompt string, n int) generatedText {
	g := generatedText{byteEnds: make([]int, n)}
	seed := textSeed(salt, prompt)
	for i := range n {
		t := token(seed, i)
		g.text = append(g.text, t...)
		g.byteEnds[i] = len(g.text)
		g.chars += utf8.RuneCountInString(t)
	}
	return g
}

// bytesAfter returns the byte length of the first n tokens.
func (g *generatedText) bytesAfter(n int) int {
	if n == 0 {
		return 0
	}
	return g.byteEnds[n-1]
}
