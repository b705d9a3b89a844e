package lavserve

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/modules/lavlog"
	"lavenderswitch/core/services/lavbalance"
	"lavenderswitch/core/services/lavplan"
	"lavenderswitch/entry/models/lavrequest"
	"lavenderswitch/entry/services/lavattempt"
	"lavenderswitch/entry/services/lavfleet"
	"lavenderswitch/wire/lavwire"
)

// maxAttempts bounds the backend servers tried for one stage of a plan.
const maxAttempts = 8

const retryAfterNoServer = 2 * time.Second

// Configs gives the configuration in force here.
type Configs interface {
	Document() *lavconfig.Document
}

// Attempts sends one attempt.
type Attempts interface {
	Run(ctx context.Context, address string, attempt *lavwire.Attempt, sink lavrequest.Sink) (lavattempt.Result, error)
}

// Bills takes what a finished request costs.
type Bills interface {
	Record(request *lavrequest.Request, version lavid.VersionID, usage lavrequest.Usage, now time.Time)
}

// Service serves requests.
type Service struct {
	Host     lavid.HostID
	Configs  Configs
	Attempts Attempts
	Fleet    *lavfleet.Fleet
	Bills    Bills
	Plans    *lavplan.State
	Log      *logrus.Logger
	// Scheme precedes the address of a side process, such as "http://".
	Scheme string
}

// Serve answers a request into sink, or returns a typed error that states whether the work ran.
func (s *Service) Serve(ctx context.Context, request *lavrequest.Request, sink lavrequest.Sink) error {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	document := s.Configs.Document()
	if document == nil {
		return laverror.New(laverror.KindConfigUnavailable, "this host has no configuration yet", "retry").WithRetryAfter(retryAfterNoServer)
	}
	if request.Service != "" {
		return s.serveStage(ctx, document, request, "", sink)
	}
	query := lavplan.Query{Account: request.Account, Model: request.Model, Version: request.Version, Class: request.Class}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	plan, ok := lavplan.Choose(document, s.Plans, query, random, time.Now())
	if !ok {
		return laverror.New(laverror.KindNotAllowed, "no allowed version serves this model", "choose one that GET /v1/models lists")
	}
	return s.serveStage(ctx, document, request, plan.Stages[0].Version, sink)
}

func (s *Service) serveStage(ctx context.Context, document *lavconfig.Document, request *lavrequest.Request, version lavid.VersionID, sink lavrequest.Sink) error {
	need := lavfleet.Need{Version: version, Service: request.Service}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	for range maxAttempts {
		now := time.Now()
		chosen, ok := lavbalance.Choose(s.Fleet.Candidates(document, need, now), random, now)
		if !ok {
			break
		}
		attempt := s.newAttempt(document, request, version, chosen.ID, now)
		row := document.BackendServers[chosen.ID]
		result, err := s.Attempts.Run(ctx, s.Scheme+row.SideAddress, attempt, sink)
		if err == nil && result.Refusal == nil {
			s.Bills.Record(request, version, result.Usage, time.Now())
			return nil
		}
		if retry, final := s.judge(request, attempt, result, err); !retry {
			return final
		}
		if err != nil {
			s.Fleet.RecordFailure(chosen.ID, time.Now())
		}
		need.Excluded = append(need.Excluded, chosen.ID)
	}
	return laverror.New(laverror.KindNoServer, "no backend server could take the request", "retry later").WithRetryAfter(retryAfterNoServer)
}

// judge decides whether a failed attempt may be followed by another, and the final error when not.
func (s *Service) judge(request *lavrequest.Request, attempt *lavwire.Attempt, result lavattempt.Result, err error) (bool, error) {
	entry := s.Log.WithFields(logrus.Fields{
		lavlog.FieldRequest: request.ID,
		lavlog.FieldAttempt: attempt.GetAttemptId(),
		lavlog.FieldServer:  attempt.GetBackendServerId(),
	})
	run := lavwire.RunState_RUN_STATE_IN_DOUBT
	if result.Refusal != nil {
		run = result.Refusal.GetRunState()
		entry = entry.WithField("refusal", result.Refusal.GetKind().String())
	}
	if result.Delivered > 0 {
		entry.WithError(err).Warning("answer broke off after bytes reached the caller")
		return false, laverror.New(laverror.KindBackendFailed, "the answer broke off", "repeat the request").WithRun(laverror.Ran)
	}
	if run == lavwire.RunState_RUN_STATE_NOT_RUN || request.Idempotent {
		entry.WithError(err).Info("attempt gave no answer; trying the next backend server")
		return true, nil
	}
	entry.WithError(err).Warning("call may have run; refusing with in doubt")
	final := laverror.New(laverror.KindInDoubt, "the call may have run", "repeat it with the same idempotency key, which never runs it twice")
	return false, final.WithRun(laverror.InDoubt).WithRetryAfter(retryAfterNoServer)
}

func (s *Service) newAttempt(document *lavconfig.Document, request *lavrequest.Request, version lavid.VersionID, server lavid.BackendServerID, now time.Time) *lavwire.Attempt {
	return &lavwire.Attempt{
		AttemptId:       uuid.NewString(),
		RequestId:       string(request.ID),
		AccountId:       string(request.Account),
		BackendServerId: string(server),
		ConfigNumber:    uint64(document.Number),
		TimeoutMillis:   request.Deadline.Sub(now).Milliseconds(),
		VersionId:       string(version),
		ServiceId:       string(request.Service),
		CallId:          string(request.Call),
		Idempotent:      request.Idempotent,
		Stream:          request.Stream,
		SessionId:       string(request.Session),
		EstimatedTokens: int64(request.EstimatedTokens),
		Method:          request.Method,
		Path:            request.Path,
		ContentType:     request.ContentType,
		Body:            bodyFor(request, version),
		Fingerprint:     request.Fingerprint,
		SenderId:        string(s.Host),
	}
}
