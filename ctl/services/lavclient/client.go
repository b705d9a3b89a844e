package lavclient

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"lavenderswitch/core/models/lavid"
)

const requestTimeout = 10 * time.Second

// Client speaks to one entry host.
type Client struct {
	Address string
	Key     string
}

// Config returns the configuration as JSON.
func (c Client) Config(ctx context.Context) (json.RawMessage, error) {
	return c.call(ctx, http.MethodGet, "/config", nil, "")
}

// Patch submits a JSON patch against a configuration number.
func (c Client) Patch(ctx context.Context, base lavid.ConfigNumber, operations json.RawMessage) (json.RawMessage, error) {
	match := strconv.Quote(strconv.FormatUint(uint64(base), 10))
	return c.call(ctx, http.MethodPatch, "/config", operations, match)
}

func (c Client) call(ctx context.Context, method, path string, body []byte, match string) (json.RawMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.Address+path, strings.NewReader(string(body)))
	if err != nil {
		return nil, errors.Wrap(err, "build request; check --address")
	}
	request.Header.Set("Authorization", "Bearer "+c.Key)
	if match != "" {
		request.Header.Set("If-Match", match)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "reach the entry host; check --address or name another entry host")
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, errors.Wrap(err, "read the reply")
	}
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("entry host answered %s: %s", response.Status, data)
	}
	return data, nil
}
