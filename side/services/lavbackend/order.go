package lavbackend

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"lavenderswitch/core/models/lavid"
)

// Order tells a model engine what to hold.
type Order struct {
	Epoch   lavid.Epoch
	Order   string
	Version lavid.VersionID `json:",omitempty"`
	Role    string          `json:",omitempty"`
}

// ErrOldEpoch says that the engine has obeyed a process with a higher epoch.
var ErrOldEpoch = errors.New("engine obeys a newer side process; this one stops ordering")

// Order sends one order.
func (c *Client) Order(ctx context.Context, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	response, err := c.send(ctx, c.unpooled, http.MethodPost, "/orders", body)
	if err != nil {
		return errors.Wrap(err, "order the engine")
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return ErrOldEpoch
	default:
		return errors.Errorf("engine answered %s to an order", response.Status)
	}
}
