package lavsnapshot

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"lavenderswitch/core/models/lavrevision"
	"lavenderswitch/core/services/lavnews"
	"lavenderswitch/entry/services/lavwatch"
	"lavenderswitch/wire/lavwire"
)

const (
	// fetchTimeout limits a whole fetch. It allows for a large list over the slowest link.
	fetchTimeout = 2 * time.Second
	// maxReplyBytes and maxDataBytes limit a reply as it is sent and its content.
	maxReplyBytes = 8 << 20
	maxDataBytes  = 64 << 20
	// PathPrefix is the path of the snapshots; the name of the part follows.
	PathPrefix = "/snapshot/"
)

// Client fetches snapshots from other entry hosts.
type Client struct {
	http *http.Client
}

// NewClient returns a client that keeps few connections.
func NewClient() *Client {
	return &Client{http: &http.Client{Timeout: fetchTimeout, Transport: &http.Transport{
		MaxIdleConnsPerHost: 1, MaxIdleConns: 8, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
	}}}
}

// Fetch returns a part of the store as the host at an HTTP address knows it, and the age of that knowledge.
func (c *Client) Fetch(ctx context.Context, address string, part lavwatch.Part) (lavwatch.Snapshot, time.Duration, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+PathPrefix+string(part), nil)
	if err != nil {
		return lavwatch.Snapshot{}, 0, errors.Wrap(err, "create the request for a snapshot")
	}
	began := time.Now()
	response, err := c.http.Do(request)
	if err != nil {
		return lavwatch.Snapshot{}, 0, errors.Wrap(err, "fetch a snapshot")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return lavwatch.Snapshot{}, 0, errors.Errorf("fetch a snapshot: status %d", response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	if err != nil {
		return lavwatch.Snapshot{}, 0, errors.Wrap(err, "read a snapshot")
	}
	snapshot, age, err := decode(body)
	return snapshot, age + time.Since(began), err
}

// decode returns the snapshot in a reply.
func decode(body []byte) (lavwatch.Snapshot, time.Duration, error) {
	var reply lavwire.StoreSnapshot
	if len(body) > maxReplyBytes {
		return lavwatch.Snapshot{}, 0, errors.Errorf("snapshot is larger than %d bytes", maxReplyBytes)
	}
	if err := proto.Unmarshal(body, &reply); err != nil {
		return lavwatch.Snapshot{}, 0, errors.Wrap(err, "decode a snapshot")
	}
	if reply.GetEdition() == nil {
		return lavwatch.Snapshot{}, 0, errors.New("snapshot states no edition")
	}
	reader, err := gzip.NewReader(bytes.NewReader(reply.GetData()))
	if err != nil {
		return lavwatch.Snapshot{}, 0, errors.Wrap(err, "decompress a snapshot")
	}
	data, err := io.ReadAll(io.LimitReader(reader, maxDataBytes+1))
	if err != nil {
		return lavwatch.Snapshot{}, 0, errors.Wrap(err, "decompress a snapshot")
	}
	if len(data) > maxDataBytes {
		return lavwatch.Snapshot{}, 0, errors.Errorf("content of the snapshot is larger than %d bytes", maxDataBytes)
	}
	edition := reply.GetEdition()
	revision := lavrevision.Revision{Era: lavrevision.Era(edition.GetEra()), Version: lavrevision.Version(edition.GetVersion())}
	snapshot := lavwatch.Snapshot{Revision: revision, Digest: lavnews.Digest(edition.GetDigest()), Data: data}
	return snapshot, time.Duration(edition.GetAgeMillis()) * time.Millisecond, nil
}
