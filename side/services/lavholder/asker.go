package lavholder

import (
	"context"
	"net/http"
	"time"

	"lavenderswitch/core/services/lavledger"
	"lavenderswitch/wire/lavwire"
)

const askTimeout = time.Second

// Asker asks over a new connection each time, because one that is kept may have gone silent.
type Asker struct {
	scheme string
	http   *http.Client
}

// New returns an asker over the dialler and TLS settings of transport; the scheme precedes addresses, such as "http://".
func New(scheme string, transport *http.Transport) *Asker {
	fresh := transport.Clone()
	fresh.DisableKeepAlives = true
	return &Asker{scheme: scheme, http: &http.Client{Transport: fresh, Timeout: askTimeout}}
}

// Query returns what the holder of an entry says of its attempt.
func (a *Asker) Query(ctx context.Context, claim lavledger.Claim, entry lavledger.Entry) lavledger.HolderReport {
	side := lavwire.NewSideProtobufClient(a.scheme+entry.Holder, a.http)
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
