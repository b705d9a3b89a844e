package lavspread

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavplatform"
	"lavenderswitch/core/services/lavmembership"
)

// ConfigTable is the table that holds one row for each accepted configuration.
const ConfigTable = "Config"

// Accepted is the value of the row of an accepted configuration.
type Accepted struct {
	PatchID lavid.PatchID
	Author  string
	// SubmittedUnixMillis is when the author's entry host first tried to write the row, in milliseconds since 1970.
	SubmittedUnixMillis int64
	Patch               json.RawMessage
	Document            lavconfig.Document
}

// Rows is the part of the store (the platform's table service) that configurations need.
type Rows interface {
	Get(ctx context.Context, table, key string) (lavplatform.Row, error)
	Insert(ctx context.Context, insert lavplatform.Insert) (lavplatform.WriteResult, error)
	Scan(ctx context.Context, table, after string, limit int) ([]lavplatform.Row, error)
}

// highestNumber bounds the numbers. Keys count down from it, so that a scan of one row finds the newest configuration.
const highestNumber lavid.ConfigNumber = 999_999_999_999

// Key returns the row key of a number; higher numbers have lower keys.
func Key(number lavid.ConfigNumber) string {
	return fmt.Sprintf("%012d", highestNumber-number)
}

// KeyNumber returns the number of a row key.
func KeyNumber(key string) (lavid.ConfigNumber, error) {
	value, err := strconv.ParseUint(key, 10, 64)
	if err != nil || lavid.ConfigNumber(value) > highestNumber {
		return 0, errors.Errorf("configuration row key %s is not a configuration number; restore the row in the table service", key)
	}
	return highestNumber - lavid.ConfigNumber(value), nil
}

// ReadNewer adopts the newest configuration in the store into current, without a Replica; started is the time just before
// the call.
func ReadNewer(ctx context.Context, rows Rows, current *Current, started time.Time) error {
	return NewReplica(lavmembership.Member{}, current).ReadNewer(ctx, rows, started)
}

// ReadNewer adopts the newest configuration in the store and records the read as a store confirmation; started is the
// time just before the call.
func (r *Replica) ReadNewer(ctx context.Context, rows Rows, started time.Time) error {
	accepted, err := ReadAccepted(ctx, rows, r.Current.Number()+1)
	if lavplatform.IsErrRowNotExist(err) {
		r.Current.Confirm(started)
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "read configuration")
	}
	if err := r.AdoptAccepted(accepted, started); err != nil {
		return err
	}
	newest, err := ReadNewest(ctx, rows)
	if err != nil {
		return err
	}
	if err := r.AdoptAccepted(newest, started); err != nil {
		return err
	}
	r.Current.Confirm(started)
	return nil
}

// ReadNewest returns the newest accepted configuration, or an error when the table has none.
func ReadNewest(ctx context.Context, rows Rows) (Accepted, error) {
	found, err := rows.Scan(ctx, ConfigTable, "", 1)
	if err != nil {
		return Accepted{}, errors.Wrap(err, "read newest configuration")
	}
	if len(found) == 0 {
		return Accepted{}, errors.New("the table service has lost the configuration; restore its rows")
	}
	return decodeRow(found[0])
}

// ReadAccepted returns the accepted configuration of one number; lavplatform.IsErrRowNotExist holds for the error when
// there is none.
func ReadAccepted(ctx context.Context, rows Rows, number lavid.ConfigNumber) (Accepted, error) {
	row, err := rows.Get(ctx, ConfigTable, Key(number))
	if err != nil {
		return Accepted{}, err
	}
	return decodeRow(row)
}

// ReadHistory returns up to limit accepted configurations below a number, newest first; zero starts at the newest.
func ReadHistory(ctx context.Context, rows Rows, below lavid.ConfigNumber, limit int) ([]Accepted, error) {
	after := ""
	if below > 0 {
		after = Key(below)
	}
	found, err := rows.Scan(ctx, ConfigTable, after, limit)
	if err != nil {
		return nil, errors.Wrap(err, "read configuration history")
	}
	history := make([]Accepted, 0, len(found))
	for _, row := range found {
		accepted, err := decodeRow(row)
		if err != nil {
			return nil, err
		}
		history = append(history, accepted)
	}
	return history, nil
}

func decodeRow(row lavplatform.Row) (Accepted, error) {
	var accepted Accepted
	if err := json.Unmarshal(row.Value, &accepted); err != nil {
		return Accepted{}, errors.Wrapf(err, "decode configuration row %s; restore the row in the table service", row.Key)
	}
	return accepted, nil
}
