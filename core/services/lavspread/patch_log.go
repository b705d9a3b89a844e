package lavspread

import (
	"sync"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/wire/lavwire"
)

// maxKeptPatches bounds the patches that are kept for peers with a lower number.
const maxKeptPatches = 32

// patchLog holds the newest accepted patches without gaps, and the compressed form of the newest document.
type patchLog struct {
	mu               sync.Mutex
	patches          []*lavwire.ConfigPatch
	compressed       []byte
	compressedNumber lavid.ConfigNumber
}

// append adds a patch; a patch that does not follow the last one replaces all earlier ones.
func (l *patchLog) append(patch *lavwire.ConfigPatch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if count := len(l.patches); count > 0 && l.patches[count-1].GetNumber()+1 != patch.GetNumber() {
		l.patches = nil
	}
	l.patches = append(l.patches, patch)
	if len(l.patches) > maxKeptPatches {
		l.patches = append([]*lavwire.ConfigPatch(nil), l.patches[1:]...)
	}
}

// between returns the patches that lead from one number to another, or nil when some are missing.
func (l *patchLog) between(from, to lavid.ConfigNumber) []*lavwire.ConfigPatch {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []*lavwire.ConfigPatch
	for _, patch := range l.patches {
		number := lavid.ConfigNumber(patch.GetNumber())
		if number > from && number <= to {
			found = append(found, patch)
		}
	}
	if len(found) != int(to-from) {
		return nil
	}
	return found
}

// compressedDocument returns the compressed form of a document and caches it by number.
func (l *patchLog) compressedDocument(document *lavconfig.Document) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.compressedNumber == document.Number && l.compressed != nil {
		return l.compressed, nil
	}
	data, err := compress(document)
	if err != nil {
		return nil, err
	}
	l.compressedNumber = document.Number
	l.compressed = data
	return data, nil
}
