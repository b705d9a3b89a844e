package lavsnapshot

import (
	"bytes"
	"compress/gzip"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"lavenderswitch/core/models/lavrevision"
	"lavenderswitch/core/services/lavnews"
	"lavenderswitch/entry/services/lavwatch"
	"lavenderswitch/wire/lavwire"
)

// Snapshots returns what this host knows of a part of the store and its age, or false if it knows nothing.
type Snapshots interface {
	Snapshot(part lavwatch.Part, now time.Time) (lavwatch.Snapshot, time.Duration, bool)
}

// Peers tells the addresses of entry hosts.
type Peers interface {
	HasAddress(ip netip.Addr) bool
}

// Handler serves snapshots to the entry hosts on record. They hold API keys, so that nobody else gets them.
type Handler struct {
	Snapshots Snapshots
	Peers     Peers
	Log       logrus.FieldLogger
	Clock     func() time.Time

	mu sync.Mutex
	// compressed holds the compressed content of the latest edition of each part.
	compressed map[lavwatch.Part]compressedPart
}

type compressedPart struct {
	digest lavnews.Digest
	era    lavrevision.Era
	data   []byte
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	remote, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil || !h.Peers.HasAddress(remote.Addr().Unmap()) {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	part := lavwatch.Part(strings.TrimPrefix(r.URL.Path, PathPrefix))
	snapshot, age, known := h.Snapshots.Snapshot(part, h.Clock())
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	body, err := proto.Marshal(&lavwire.StoreSnapshot{
		Edition: &lavwire.StoreEdition{Era: uint64(snapshot.Era), Version: float64(snapshot.Version), Digest: uint64(snapshot.Digest), AgeMillis: uint32(age.Milliseconds())},
		Data:    h.compress(part, snapshot),
	})
	if err != nil {
		h.Log.WithError(err).Error("encoding a snapshot failed")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/x-protobuf")
	if _, err := w.Write(body); err != nil {
		h.Log.WithError(err).Debug("sending a snapshot failed")
	}
}

// compress returns the compressed content of a snapshot, which is kept until the part changes.
func (h *Handler) compress(part lavwatch.Part, snapshot lavwatch.Snapshot) []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	if kept, found := h.compressed[part]; found && kept.digest == snapshot.Digest && kept.era == snapshot.Era {
		return kept.data
	}
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	// Writes to a buffer do not fail.
	_, _ = writer.Write(snapshot.Data)
	_ = writer.Close()
	if h.compressed == nil {
		h.compressed = make(map[lavwatch.Part]compressedPart)
	}
	h.compressed[part] = compressedPart{digest: snapshot.Digest, era: snapshot.Era, data: buffer.Bytes()}
	return buffer.Bytes()
}
