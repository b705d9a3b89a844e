package lavbackend

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"lavenderswitch/core/models/lavid"
)

// Order is an order to a model engine to load or unload a version or to change its role.
type Order struct {
	// Epoch is the epoch of the side process that sends the order.
	Epoch lavid.Epoch
	// Order is the kind of the order.
	Order   string
	Version lavid.VersionID `json:",omitempty"`
	Role    string          `json:",omitempty"`
}

// ErrStaleEpoch means that the engine has accepted an order with a higher epoch, from a newer side process.
var ErrStaleEpoch = errors.New("engine has accepted an order from a newer side process; this process must not send further orders")

// Order sends one order to the engine. It returns ErrStaleEpoch when the engine has accepted a higher epoch.
func (c *Client) Order(ctx context.Context, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	response, err := c.send(ctx, c.unpooled, http.MethodPost, "/orders", body)
	if err != nil {
		return errors.Wrap(err, "send order to the engine")
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return ErrStaleEpoch
	default:
		return errors.Errorf("engine returned status %s for an order", response.Status)
	}
}
