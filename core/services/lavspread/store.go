package lavspread

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavplatform"
)

// ConfigTable holds one row for each accepted configuration.
const ConfigTable = "Config"

// Accepted is the row of one accepted configuration.
type Accepted struct {
	PatchID  lavid.PatchID
	Author   string
	Patch    json.RawMessage
	Document lavconfig.Document
}

// Rows is the part of the table service that configuration needs.
type Rows interface {
	Get(ctx context.Context, table, key string) (lavplatform.Row, error)
	Insert(ctx context.Context, insert lavplatform.Insert) (lavplatform.Written, error)
	Scan(ctx context.Context, table, after string, limit int) ([]lavplatform.Row, error)
}

// Key returns the row key of a number; keys sort as numbers do.
func Key(number lavid.ConfigNumber) string {
	return fmt.Sprintf("%012d", number)
}

const scanLimit = 50

// ReadNewer adopts every configuration in the store that follows the current one.
func ReadNewer(ctx context.Context, rows Rows, current *Current, now time.Time) error {
	for {
		found, err := rows.Scan(ctx, ConfigTable, Key(current.Number()), scanLimit)
		if err != nil {
			return errors.Wrap(err, "read configurations")
		}
		if len(found) == 0 {
			current.Confirm(now)
			return nil
		}
		if err := adoptLast(found, current, now); err != nil {
			return err
		}
	}
}

func adoptLast(found []lavplatform.Row, current *Current, now time.Time) error {
	var accepted Accepted
	last := found[len(found)-1]
	if err := json.Unmarshal(last.Value, &accepted); err != nil {
		return errors.Wrapf(err, "decode configuration row %s; restore the row in the table service", last.Key)
	}
	current.Adopt(&accepted.Document, now)
	return nil
}
