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

// IsHash tells whether text has the form of a hash.
func IsHash(text string) bool {
	return hashForm.MatchString(text)
}

// Matches tells whether a key has one of the hashes; its time does not depend on which one.
func Matches(key string, hashes []string) bool {
	hash := []byte(Hash(key))
	found := 0
	for _, storedHash := range hashes {
		found |= subtle.ConstantTimeCompare(hash, []byte(storedHash))
	}
	return found == 1
}

// Bearer returns the key of an Authorization header, or empty text.
func Bearer(header http.Header) string {
	key, ok := strings.CutPrefix(header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return key
}
