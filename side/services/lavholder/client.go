package lavholder

import (
	"context"
	"net/http"
	"time"

	"lavenderswitch/core/services/lavledger"
	"lavenderswitch/wire/lavwire"
)

// requestTimeout bounds one query to another side process.
const requestTimeout = time.Second

// Client queries other side processes for the phases of their attempts. It opens a new connection for each request, because
// a pooled one may have stopped responding.
type Client struct {
	scheme string
	http   *http.Client
}

// New returns a client with the dialler and TLS settings of transport; the scheme precedes addresses, such as "http://".
func New(scheme string, transport *http.Transport) *Client {
	unpooled := transport.Clone()
	unpooled.DisableKeepAlives = true
	return &Client{scheme: scheme, http: &http.Client{Transport: unpooled, Timeout: requestTimeout}}
}

// Query returns the phase of the entry's attempt at the side process that holds it. After an error the report is zero, which
// means that the process was not reached.
func (c *Client) Query(ctx context.Context, claim lavledger.Claim, entry lavledger.Entry) lavledger.HolderReport {
	side := lavwire.NewSideProtobufClient(c.scheme+entry.Holder, c.http)
	response, err := side.Locate(ctx, &lavwire.LocateRequest{
		RequestId: string(claim.Request),
		AccountId: string(claim.Account),
		AttemptId: string(entry.Attempt),
	})
	if err != nil {
		return lavledger.HolderReport{}
	}
	return lavledger.HolderReport{Reached: true, Process: lavledger.ProcessID(response.GetProcessId()), Phase: phaseOf(response)}
}

// phaseOf returns the phase that a response states. A running attempt counts as dispatched.
func phaseOf(response *lavwire.LocateResponse) lavledger.Phase {
	switch {
	case response.GetRunning():
		return lavledger.PhaseDispatched
	case response.GetAbandoned():
		return lavledger.PhaseAbandoned
	case response.GetRunState() == lavwire.RunState_RUN_STATE_RAN:
		return lavledger.PhaseEnded
	default:
		return lavledger.PhaseUnknown
	}
}
