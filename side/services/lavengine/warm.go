package lavengine

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc/pool"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/wire/lavwire"
)

const (
	warmTimeout = time.Second
	warmAskers  = 16
)

// Warm asks the side processes of other backend servers which versions they serve; it is only asked before an unload.
type Warm struct {
	Server   lavid.BackendServerID
	Document func() *lavconfig.Document
	Scheme   string
	HTTP     *http.Client
}

// Others counts the other backend servers in service that hold a version and are not leaving.
func (w *Warm) Others(version lavid.VersionID) int {
	document := w.Document()
	if document == nil {
		return 0
	}
	ctx, cancel := context.WithTimeout(context.Background(), warmTimeout)
	defer cancel()
	var count atomic.Int64
	asks := pool.New().WithMaxGoroutines(warmAskers)
	for id, row := range document.BackendServers {
		if id == w.Server || row.Service != "" || row.State != lavconfig.InService {
			continue
		}
		asks.Go(func() {
			if w.holds(ctx, row.SideAddress, version) {
				count.Add(1)
			}
		})
	}
	asks.Wait()
	return int(count.Load())
}

func (w *Warm) holds(ctx context.Context, address string, version lavid.VersionID) bool {
	load, err := lavwire.NewSideProtobufClient(w.Scheme+address, w.HTTP).ReadLoad(ctx, &lavwire.ReadLoadRequest{})
	return err == nil && !load.GetLeaving() && slices.Contains(load.GetLoadedVersions(), string(version))
}
