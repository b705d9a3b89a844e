package lavholding

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"lavenderswitch/core/models/lavid"
)

// Key identifies the beginning of a prompt, up to the end of one of its parts, as one model reads it. Engines hold a part only together
// with all parts before it.
type Key uint64

// KeysOf returns the keys of the beginnings of a prompt with the given parts, the shortest first.
func KeysOf(model lavid.ModelID, parts []string) []Key {
	keys := make([]Key, 0, len(parts))
	last := xxhash.Sum64String(string(model))
	for _, part := range parts {
		digest := xxhash.NewWithSeed(last)
		_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, last))
		_, _ = digest.WriteString(part)
		last = digest.Sum64()
		keys = append(keys, Key(last))
	}
	return keys
}
