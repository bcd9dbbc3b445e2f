// Package answer holds what keeps an answer whole and apart from all others:
// request and attempt ids, the SSE reader and writer, the chat-completions
// types that routing needs, and the sequence check of answer frames.
package answer
