package declare

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"strings"

	"github.com/filbertmast/filbertmast/internal/model"
)

const (
	keyPrefix       = "fmk_" // lets secret scanners find keys
	keyEntropyBytes = 32
	shortDigestLen  = 12 // hex digits of a digest shown to people
)

// NewKey makes a key from the system's random source, with its digest. The key
// is shown once to its holder and stored nowhere.
func NewKey() (key string, digest model.KeyDigest) {
	var b [keyEntropyBytes]byte
	_, _ = rand.Read(b[:]) // never fails: the runtime ends the process instead
	key = keyPrefix + base64.RawURLEncoding.EncodeToString(b[:])
	return key, DigestKey(key)
}

// DigestKey returns the digest under which key is stored. Keys carry 256
// random bits, so that a plain digest cannot be searched.
func DigestKey(key string) model.KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return model.KeyDigest(hex.EncodeToString(sum[:]))
}

// SameDigest compares two digests in constant time.
func SameDigest(a, b model.KeyDigest) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}

// ValidDigest reports whether d is 64 lower-case hex digits.
func ValidDigest(d model.KeyDigest) bool {
	raw, err := hex.DecodeString(string(d))
	return err == nil && len(raw) == sha256.Size && string(d) == strings.ToLower(string(d))
}

// ShortDigest returns the part of d that is shown to people.
func ShortDigest(d model.KeyDigest) string {
	if len(d) <= shortDigestLen {
		return string(d)
	}
	return string(d[:shortDigestLen])
}
