package lavdispatch

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavlog"
	"lavenderswitch/core/services/lavledger"
	"lavenderswitch/side/services/lavbackend"
	"lavenderswitch/wire/lavwire"
)

const readBytes = 32 << 10

func (d *Dispatcher) perform(ctx context.Context, run *Run) {
	if run.Attempt.GetIdempotent() {
		d.dispatch(ctx, run)
		return
	}
	d.performOnce(ctx, run)
}

func (d *Dispatcher) performOnce(ctx context.Context, run *Run) {
	claim := d.claim(run.Attempt)
	position, err := d.Ledger.Begin(ctx, claim)
	if err != nil {
		d.Log.WithError(err).WithField(lavlog.FieldAttempt, claim.Attempt).Warning("ledger gave no reply; refusing the attempt")
		run.Buffer.Refuse(notRun(lavwire.RefusalKind_REFUSAL_KIND_STORE_UNAVAILABLE, "repeat the request with the same idempotency key"))
		return
	}
	if !position.Won {
		answerFromLedger(run, position)
		return
	}
	d.dispatch(ctx, run)
	d.finish(claim, position, run)
}

func (d *Dispatcher) finish(claim lavledger.Claim, held lavledger.Position, run *Run) {
	view := run.Buffer.View(0)
	if view.End == nil {
		return
	}
	answer := lavledger.Answer{
		StatusCode:  int(view.Head.GetStatusCode()),
		ContentType: view.Head.GetContentType(),
		Body:        view.Body,
	}
	if _, err := d.Ledger.Finish(context.Background(), claim, held, answer); err != nil {
		d.Log.WithError(err).WithField(lavlog.FieldAttempt, claim.Attempt).Error("outcome is not stored; the call stays in doubt until it is")
	}
}

func (d *Dispatcher) claim(attempt *lavwire.Attempt) lavledger.Claim {
	return lavledger.Claim{
		Account:     lavid.AccountID(attempt.GetAccountId()),
		Request:     lavid.RequestID(attempt.GetRequestId()),
		Attempt:     lavid.AttemptID(attempt.GetAttemptId()),
		Holder:      d.Holder,
		Fingerprint: attempt.GetFingerprint(),
	}
}

func answerFromLedger(run *Run, position lavledger.Position) {
	entry := position.Entry
	if entry.State != lavledger.StateFinished || entry.Answer == nil {
		run.Buffer.Refuse(&lavwire.Refusal{
			Kind:            lavwire.RefusalKind_REFUSAL_KIND_REQUEST_RUNNING,
			RunState:        lavwire.RunState_RUN_STATE_IN_DOUBT,
			Remedy:          "attach to the holder of the request",
			HolderAddress:   entry.Holder,
			HolderAttemptId: string(entry.Attempt),
		})
		return
	}
	run.Buffer.SetHead(&lavwire.Head{
		AttemptId:   string(entry.Attempt),
		StatusCode:  int32(entry.Answer.StatusCode),
		ContentType: entry.Answer.ContentType,
		Stored:      true,
	})
	run.Buffer.Append(entry.Answer.Body)
	run.Buffer.Close(&lavwire.Usage{})
}

func (d *Dispatcher) dispatch(ctx context.Context, run *Run) {
	response, err := d.Backend.Dispatch(ctx, run.Attempt)
	if err != nil {
		run.Buffer.Refuse(failed(run.Attempt))
		return
	}
	defer response.Body.Close()
	if answered := response.Header.Get(lavbackend.HeaderVersion); answered != run.Attempt.GetVersionId() {
		run.Buffer.Refuse(&lavwire.Refusal{
			Kind:     lavwire.RefusalKind_REFUSAL_KIND_WRONG_VERSION,
			RunState: lavwire.RunState_RUN_STATE_RAN,
			Remedy:   "try another backend server",
		})
		return
	}
	run.Buffer.SetHead(&lavwire.Head{
		AttemptId:   run.Attempt.GetAttemptId(),
		StatusCode:  int32(response.StatusCode),
		ContentType: response.Header.Get("Content-Type"),
		VersionId:   response.Header.Get(lavbackend.HeaderVersion),
	})
	copyBody(run, response)
}

func copyBody(run *Run, response *http.Response) {
	chunk := make([]byte, readBytes)
	for {
		n, err := response.Body.Read(chunk)
		run.Buffer.Append(chunk[:n])
		if err == io.EOF {
			run.Buffer.Close(usageOf(run.Buffer.View(0).Body))
			return
		}
		if err != nil {
			run.Buffer.Refuse(failed(run.Attempt))
			return
		}
	}
}

// usageOf reads the usage of a plain chat answer; other answers have none.
func usageOf(body []byte) *lavwire.Usage {
	var answer struct {
		Usage struct {
			PromptTokens     int64 `json:"prompt_tokens"`
			CompletionTokens int64 `json:"completion_tokens"`
		} `json:"usage"`
	}
	if json.Unmarshal(body, &answer) != nil {
		return &lavwire.Usage{}
	}
	return &lavwire.Usage{InputTokens: answer.Usage.PromptTokens, OutputTokens: answer.Usage.CompletionTokens}
}

func failed(attempt *lavwire.Attempt) *lavwire.Refusal {
	remedy := "the router tries another backend server"
	if !attempt.GetIdempotent() {
		remedy = "ask an operator to settle the request"
	}
	return &lavwire.Refusal{
		Kind:     lavwire.RefusalKind_REFUSAL_KIND_BACKEND_FAILED,
		RunState: lavwire.RunState_RUN_STATE_IN_DOUBT,
		Remedy:   remedy,
	}
}
