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
	// countTimeout bounds one count over all backend servers.
	countTimeout = time.Second
	// maxConcurrentReads bounds the reads in progress of one count.
	maxConcurrentReads = 16
)

// VersionCounter counts the other backend servers that have a version loaded. It is used only before an unload.
type VersionCounter struct {
	// Server is the backend server beside this process; it is not counted.
	Server lavid.BackendServerID
	// Document returns the newest configuration of this process, or nil before the first one.
	Document func() *lavconfig.Document
	// Scheme precedes addresses, such as "http://".
	Scheme string
	HTTP   *http.Client
}

// Others returns the number of other backend servers in service that have a version loaded and are not leaving. A server
// whose load cannot be read before countTimeout ends the count is not counted. Without a configuration, Others returns
// zero.
func (c *VersionCounter) Others(version lavid.VersionID) int {
	document := c.Document()
	if document == nil {
		return 0
	}
	ctx, cancel := context.WithTimeout(context.Background(), countTimeout)
	defer cancel()
	var count atomic.Int64
	reads := pool.New().WithMaxGoroutines(maxConcurrentReads)
	for id, row := range document.BackendServers {
		if id == c.Server || row.Service != "" || row.State != lavconfig.InService {
			continue
		}
		reads.Go(func() {
			if c.servesVersion(ctx, row.SideAddress, version) {
				count.Add(1)
			}
		})
	}
	reads.Wait()
	return int(count.Load())
}

func (c *VersionCounter) servesVersion(ctx context.Context, address string, version lavid.VersionID) bool {
	load, err := lavwire.NewSideProtobufClient(c.Scheme+address, c.HTTP).ReadLoad(ctx, &lavwire.ReadLoadRequest{})
	return err == nil && !load.GetLeaving() && slices.Contains(load.GetLoadedVersions(), string(version))
}
