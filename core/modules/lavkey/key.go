package lavkey

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"regexp"
	"strings"
)

// Hash returns the SHA-256 hash of a key in hexadecimal.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

var hashForm = regexp.MustCompile(`^[0-9a-f]{64}$`)

// IsHash reports whether text has the form of a hash: 64 lower-case hexadecimal digits.
func IsHash(text string) bool {
	return hashForm.MatchString(text)
}

// Matches reports whether the hash of a key is one of the hashes. Its running time does not depend on which one matches.
func Matches(key string, hashes []string) bool {
	hash := []byte(Hash(key))
	found := 0
	for _, storedHash := range hashes {
		found |= subtle.ConstantTimeCompare(hash, []byte(storedHash))
	}
	return found == 1
}

// Bearer returns the bearer token of the Authorization header, or an empty string.
func Bearer(header http.Header) string {
	key, ok := strings.CutPrefix(header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return key
}
