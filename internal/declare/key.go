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
	keyPrefix       = "fmk_" // allows secret scanners to find keys
	keyEntropyBytes = 32
	shortDigestLen  = 12 // hex digits of a shortened digest
)

// NewKey returns a new key from the system's random source, and its digest. The
// key is shown once to its holder and never stored.
func NewKey() (key string, digest model.KeyDigest) {
	var b [keyEntropyBytes]byte
	_, _ = rand.Read(b[:]) // never fails: the runtime ends the process instead
	key = keyPrefix + base64.RawURLEncoding.EncodeToString(b[:])
	return key, DigestKey(key)
}

// DigestKey returns the SHA-256 digest under which key is stored, in hex. It needs
// no salt, since keys have 256 random bits and cannot be found by search.
func DigestKey(key string) model.KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return model.KeyDigest(hex.EncodeToString(sum[:]))
}

// SameDigest reports whether two digests are equal, in constant time.
func SameDigest(a, b model.KeyDigest) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}

// ValidDigest reports whether d is 64 lower-case hex digits.
func ValidDigest(d model.KeyDigest) bool {
	raw, err := hex.DecodeString(string(d))
	return err == nil && len(raw) == sha256.Size && string(d) == strings.ToLower(string(d))
}

// ShortDigest returns the first hex digits of d, for display.
func ShortDigest(d model.KeyDigest) string {
	if len(d) <= shortDigestLen {
		return string(d)
	}
	return string(d[:shortDigestLen])
}
