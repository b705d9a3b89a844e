package lavrater

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc/pool"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/modules/lavlife"
	"lavenderswitch/core/modules/lavplatform"
	"lavenderswitch/core/services/lavevidence"
	"lavenderswitch/core/services/lavplan"
	"lavenderswitch/core/services/lavrating"
	"lavenderswitch/entry/models/lavrequest"
	"lavenderswitch/entry/services/lavserve"
)

const (
	// queueInterval separates two rounds of ratings of queued answers.
	queueInterval = 250 * time.Millisecond
	// queuedRatingTimeout bounds the rating of one queued answer.
	queuedRatingTimeout = 5 * time.Second
	// queueBatch is the maximum number of answers that one round takes from the queue.
	queueBatch = 32
	// queueWorkers is the maximum number of queued answers that are rated concurrently.
	queueWorkers = 16
)

// Configs returns the newest configuration that this host has received, or nil before the first one.
type Configs interface {
	Document() *lavconfig.Document
}

// Ratings calls the rating service.
type Ratings interface {
	Rate(ctx context.Context, request lavplatform.RatingRequest) (lavplatform.Rating, error)
}

// Counts collects the counts of outcomes, which are reported to the owners of models.
type Counts interface {
	Add(document *lavconfig.Document, count lavevidence.Count, now time.Time)
}

// Rater chooses the plans of requests and records the outcomes of their attempts.
type Rater struct {
	lavlife.DoneSignal
	Configs Configs
	Ratings Ratings
	Counts  Counts
	Plans   *lavplan.State
	Breaker *lavrating.Breaker
	Queue   *lavrating.Queue
}

// Choose returns the plan of a query, or false if no version may serve it.
func (r *Rater) Choose(document *lavconfig.Document, query lavplan.Query, now time.Time) (lavplan.Plan, bool) {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return lavplan.Choose(document, r.Plans, query, random, now)
}

// CanCheck reports whether an answer can be rated before it is delivered.
func (r *Rater) CanCheck(now time.Time) bool {
	return r.Breaker.CanCheck(now)
}

// Rate returns the rating of an answer that is not delivered yet. The answer is unrated when the breaker refuses
// the call, or when the rating service fails or exceeds the breaker's time limit.
func (r *Rater) Rate(ctx context.Context, request *lavrequest.Request, key lavevidence.Key, answer []byte) lavplan.Rating {
	began := time.Now()
	limit, ok := r.Breaker.Start(began)
	if !ok {
		return lavplan.Unrated
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	rating, err := r.Ratings.Rate(ctx, lavplatform.RatingRequest{
		Request: request.ID,
		Version: key.Version,
		Class:   key.Class,
		Prompt:  string(promptOf(request)),
		Answer:  string(answer),
	})
	now := time.Now()
	r.Breaker.Finish(now.Sub(began), err != nil, now)
	switch {
	case err != nil:
		return lavplan.Unrated
	case rating.Acceptable:
		return lavplan.RatedAccepted
	default:
		return lavplan.RatedRejected
	}
}

// Observe counts an answer. An answer that was delivered without a rating is queued for one.
func (r *Rater) Observe(request *lavrequest.Request, answered lavserve.StageAnswer) {
	now := time.Now()
	document := r.Configs.Document()
	r.Counts.Add(document, lavevidence.Count{Key: answered.Key, Counts: lavevidence.Counts{Answers: 1, Cost: answered.Cost}}, now)
	if answered.Rating != lavplan.Unrated {
		r.recordRating(lavrating.Item{Account: request.Account, Key: answered.Key}, answered.Rating == lavplan.RatedAccepted, now)
	}
	if !answered.Delivered {
		return
	}
	r.Plans.ObserveDelivery(document, lavplan.Delivery{Account: request.Account, Key: answered.Key, Rating: answered.Rating}, now)
	if answered.Rating == lavplan.Unrated {
		r.Queue.Put(lavrating.Item{
			Request: request.ID,
			Account: request.Account,
			Key:     answered.Key,
			Prompt:  promptOf(request),
			Answer:  answered.Answer,
			Due:     now,
		}, now)
	}
}

// ObserveFailure counts an attempt at a version that gave no answer.
func (r *Rater) ObserveFailure(_ *lavrequest.Request, key lavevidence.Key) {
	r.Counts.Add(r.Configs.Document(), lavevidence.Count{Key: key, Counts: lavevidence.Counts{Failed: 1}}, time.Now())
}

func (r *Rater) recordRating(item lavrating.Item, accepted bool, now time.Time) {
	document := r.Configs.Document()
	counts := lavevidence.Counts{Rated: 1}
	if accepted {
		counts.Accepted = 1
	}
	r.Counts.Add(document, lavevidence.Count{Key: item.Key, Counts: counts}, now)
	r.Plans.ObserveRating(document, item.Account, item.Key, accepted, now)
}

// Run rates queued answers until ctx ends.
func (r *Rater) Run(ctx context.Context) {
	defer r.Finish()
	workers := pool.New().WithMaxGoroutines(queueWorkers)
	defer workers.Wait()
	lavlife.Tick(ctx, queueInterval, func(now time.Time) {
		for _, item := range r.Queue.Take(queueBatch, now) {
			workers.Go(func() { r.rateQueued(ctx, item) })
		}
	})
}

func (r *Rater) rateQueued(ctx context.Context, item lavrating.Item) {
	ctx, cancel := context.WithTimeout(ctx, queuedRatingTimeout)
	defer cancel()
	rating, err := r.Ratings.Rate(ctx, lavplatform.RatingRequest{
		Request: item.Request,
		Version: item.Key.Version,
		Class:   item.Key.Class,
		Prompt:  string(item.Prompt),
		Answer:  string(item.Answer),
	})
	if err != nil {
		r.Queue.Requeue(item, time.Now())
		return
	}
	r.recordRating(item, rating.Acceptable, time.Now())
}

// promptOf returns the messages of a chat request as JSON, or nil when the body cannot be decoded.
func promptOf(request *lavrequest.Request) []byte {
	var body struct {
		Messages json.RawMessage `json:"messages"`
	}
	if json.Unmarshal(request.Body, &body) != nil {
		return nil
	}
	return body.Messages
}
