// Package answer keeps an answer complete and separate from other answers. It
// contains request and attempt ids, the SSE reader and writer, the
// chat-completions types that routing needs, and the sequence check of answer
// frames.
package answer
