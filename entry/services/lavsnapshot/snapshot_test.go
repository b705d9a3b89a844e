package lavsnapshot

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"lavenderswitch/core/models/lavrevision"
	"lavenderswitch/entry/services/lavwatch"
	"lavenderswitch/wire/lavwire"
)

type fixedSnapshots map[lavwatch.Part]lavwatch.Snapshot

func (f fixedSnapshots) Snapshot(part lavwatch.Part, _ time.Time) (lavwatch.Snapshot, time.Duration, bool) {
	snapshot, found := f[part]
	return snapshot, 700 * time.Millisecond, found
}

// knownPeers reports whether loopback addresses belong to entry hosts.
type knownPeers bool

func (k knownPeers) HasAddress(netip.Addr) bool { return bool(k) }

func serve(t *testing.T, snapshots fixedSnapshots, known knownPeers) string {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	server := httptest.NewServer(&Handler{Snapshots: snapshots, Peers: known, Log: log, Clock: time.Now})
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func TestSnapshotArrivesWholeWithItsAge(t *testing.T) {
	is := is.New(t)
	stored := lavwatch.Snapshot{Revision: lavrevision.Revision{Era: 2, Version: 7}, Digest: 1 << 63, Data: []byte(strings.Repeat("row ", 5000))}
	address := serve(t, fixedSnapshots{lavwatch.PartServers: stored}, true)
	client := NewClient()
	for range 2 { // the second reply is compressed already
		snapshot, age, err := client.Fetch(t.Context(), address, lavwatch.PartServers)
		is.NoErr(err)
		is.Equal(snapshot, stored)
		is.True(age >= 700*time.Millisecond && age < 2*time.Second)
	}
	_, _, err := client.Fetch(t.Context(), address, lavwatch.PartOperations)
	is.True(err != nil) // nothing is known of it
}

// TestOnlyEntryHostsGetSnapshots guards against API keys that leave the system: the operators' rows hold them.
func TestOnlyEntryHostsGetSnapshots(t *testing.T) {
	is := is.New(t)
	address := serve(t, fixedSnapshots{lavwatch.PartOperations: {Revision: lavrevision.Revision{Version: 1}, Data: []byte("key")}}, false)
	_, _, err := NewClient().Fetch(t.Context(), address, lavwatch.PartOperations)
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "403"))
}

func TestDamagedSnapshotIsAnError(t *testing.T) {
	whole, err := proto.Marshal(&lavwire.StoreSnapshot{Edition: &lavwire.StoreEdition{Version: 1}, Data: []byte("not compressed")})
	is.New(t).NoErr(err)
	withoutEdition, err := proto.Marshal(&lavwire.StoreSnapshot{})
	is.New(t).NoErr(err)
	for name, body := range map[string][]byte{"no message": []byte("<html>"), "no edition": withoutEdition, "not compressed": whole, "empty": nil} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) }))
			defer server.Close()
			_, _, err := NewClient().Fetch(t.Context(), server.Listener.Addr().String(), lavwatch.PartServers)
			is.True(err != nil)
		})
	}
}
