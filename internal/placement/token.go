package placement

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"time"

	"github.com/rotisserie/eris"
)

// Token layout in bytes: version, issue time, hash of the boot id, engine name, MAC.
const (
	tokenVersion     = 1
	tokenHeaderBytes = 1 + 4 + 8
	tokenMACBytes    = 16
	// maxTokenEngineBytes keeps the encoded token under 120 characters.
	maxTokenEngineBytes = 60
	// maxClockSkew is the accepted difference between the clocks of two routers.
	maxClockSkew = 1 * time.Minute
)

// MaxTokenLength is the length of the longest token in characters.
const MaxTokenLength = (tokenHeaderBytes+maxTokenEngineBytes+tokenMACBytes)*4/3 + 1

// Errors of TokenSigner.Verify. A request with such a token is placed without a
// hint.
var (
	ErrTokenMalformed = eris.New("placement token is malformed")
	ErrTokenForged    = eris.New("placement token has an invalid authentication code")
	ErrTokenExpired   = eris.New("placement token is expired or issued in the future")
)

// Hint is the content of a token.
type Hint struct {
	Engine string
	// BootHash is the hash of the engine's boot id at the time of issue.
	BootHash uint64
	Issued   time.Time
}

// TokenSigner issues and verifies placement tokens. It is immutable and safe for
// concurrent use.
type TokenSigner struct {
	keys   [][]byte
	maxAge time.Duration
}

// NewTokenSigner returns a signer that signs with the first key and verifies with
// all keys, so that a fleet key can be replaced. Tokens older than maxAge are
// rejected.
func NewTokenSigner(maxAge time.Duration, keys ...[]byte) (*TokenSigner, error) {
	if len(keys) == 0 {
		return nil, eris.New("no key for placement tokens")
	}
	for _, k := range keys {
		if len(k) < 16 {
			return nil, eris.New("a key for placement tokens is shorter than 16 bytes")
		}
	}
	return &TokenSigner{keys: keys, maxAge: maxAge}, nil
}

// Sign returns the token that names an engine to a chat of a workspace, or an
// empty string if the engine's name is empty or longer than 60 bytes.
func (s *TokenSigner) Sign(now time.Time, workspace, chat, engine, bootID string) string {
	if engine == "" || len(engine) > maxTokenEngineBytes {
		return ""
	}
	raw := make([]byte, tokenHeaderBytes, tokenHeaderBytes+len(engine)+tokenMACBytes)
	raw[0] = tokenVersion
	binary.BigEndian.PutUint32(raw[1:], uint32(now.Unix()))
	binary.BigEndian.PutUint64(raw[5:], Hash(bootID))
	raw = append(raw, engine...)
	raw = append(raw, tokenMAC(s.keys[0], raw, workspace, chat)...)
	return base64.RawURLEncoding.EncodeToString(raw)
}

// Verify checks a token that a caller returned for a chat of a workspace. The
// errors are ErrTokenMalformed, ErrTokenForged and ErrTokenExpired.
func (s *TokenSigner) Verify(now time.Time, workspace, chat, token string) (Hint, error) {
	if len(token) > MaxTokenLength {
		return Hint{}, ErrTokenMalformed
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(token)
	if err != nil || len(raw) <= tokenHeaderBytes+tokenMACBytes || raw[0] != tokenVersion {
		return Hint{}, ErrTokenMalformed
	}
	body, mac := raw[:len(raw)-tokenMACBytes], raw[len(raw)-tokenMACBytes:]
	if !s.verifyMAC(body, mac, workspace, chat) {
		return Hint{}, ErrTokenForged
	}
	issued := time.Unix(int64(binary.BigEndian.Uint32(body[1:])), 0)
	if now.Sub(issued) > s.maxAge || issued.Sub(now) > maxClockSkew {
		return Hint{}, ErrTokenExpired
	}
	hint := Hint{
		Engine:   string(body[tokenHeaderBytes:]),
		BootHash: binary.BigEndian.Uint64(body[5:]),
		Issued:   issued,
	}
	return hint, nil
}

// verifyMAC reports whether one of the keys gives the MAC of the token.
func (s *TokenSigner) verifyMAC(body, mac []byte, workspace, chat string) bool {
	for _, k := range s.keys {
		if hmac.Equal(mac, tokenMAC(k, body, workspace, chat)) {
			return true
		}
	}
	return false
}

// tokenMAC returns the MAC of the body, the workspace and the chat. The length
// prefix distinguishes pairs of workspace and chat with the same concatenation.
func tokenMAC(key, body []byte, workspace, chat string) []byte {
	h := hmac.New(sha256.New, key)
	var n [8]byte
	binary.BigEndian.PutUint32(n[:4], uint32(len(body)))
	binary.BigEndian.PutUint32(n[4:], uint32(len(workspace)))
	h.Write(n[:])
	h.Write(body)
	h.Write([]byte(workspace))
	h.Write([]byte(chat))
	return h.Sum(nil)[:tokenMACBytes]
}
