package lavquarantine

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a part of a prompt, or a whole request. It is a hash of the part's ID, or of what a server gets to see of the
// request and gets again when a caller sends it again.
type Key uint64

// KeyOf returns the key of the part with the given ID.
func KeyOf(id string) Key { return Key(xxhash.Sum64String(id)) }

// KeyOfRequest returns the key of a whole request with the given body and identifying texts, such as method, path and caller.
func KeyOfRequest(body []byte, texts ...string) Key {
	digest := xxhash.New()
	for _, text := range texts {
		_, _ = digest.WriteString(strconv.Itoa(len(text)) + ":" + text)
	}
	_, _ = digest.Write(body)
	return Key(digest.Sum64())
}

// String returns the key as logs and state dumps show it, in hexadecimal digits.
func (k Key) String() string { return strconv.FormatUint(uint64(k), 16) }

// Keys are the keys of a request. Request is zero if only parts of its prompt are of interest.
type Keys struct {
	// Parts are the parts of the prompt that other requests may share.
	Parts   []Key
	Request Key
}

// each calls a function with each key, and whether it is that of the whole request.
func (k Keys) each(call func(key Key, whole bool)) {
	for _, part := range k.Parts {
		call(part, false)
	}
	if k.Request != 0 {
		call(k.Request, true)
	}
}

// contains reports whether a key is among the keys.
func (k Keys) contains(key Key) bool {
	return key == k.Request || slices.Contains(k.Parts, key)
}
