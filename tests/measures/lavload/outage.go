package lavload

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/tests/measures/lavprocess"
	"lavenderswitch/tests/measures/lavreport"
)

const (
	outageDataCentres = 3
	outageLoad        = 0.6 // request rate relative to the capacity
	outageLeave       = 6 * time.Second
	outageReturn      = 14 * time.Second
	outageEnd         = 24 * time.Second
	outageBefore      = 3 * time.Second // start of the period whose latency is the reference
)

// timedAnswer is an answer with the time at which its request was sent, counted from the start of the run.
type timedAnswer struct {
	sent   time.Duration
	answer lavprocess.Answer
	failed bool
}

// Outage measures, on separate processes, a data centre that operators take out of service under load and bring back.
func Outage(options lavreport.Options) ([]lavreport.Row, error) {
	f, err := outageFleet()
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	var left time.Time
	var patchErr error
	began := time.Now()
	var group conc.WaitGroup
	group.Go(func() {
		time.Sleep(outageLeave)
		patchErr = f.Patch(setDataCentreState(lavconfig.OutOfService))
		left = time.Now()
		time.Sleep(time.Until(began.Add(outageReturn)))
		patchErr = firstError(patchErr, f.Patch(setDataCentreState(lavconfig.InService)))
	})
	sent := sendAtConstantRate(newLoadTarget(f, chooseRouter), outageLoad*outageDataCentres*engineRate(fastBetween), outageEnd)
	group.Wait()
	if patchErr != nil {
		return nil, patchErr
	}
	stop, err := lastArrival(f.Engines[0], left, began.Add(outageReturn))
	if err != nil {
		return nil, err
	}
	return []lavreport.Row{outageRow(sent, stop, options.Seed)}, nil
}

// outageFleet starts a fleet with one engine and one entry host in each data centre.
func outageFleet() (*lavprocess.Fleet, error) {
	f, err := lavprocess.New(programs)
	if err != nil {
		return nil, err
	}
	for i := range outageDataCentres {
		dataCentre := lavid.DataCentreID(fmt.Sprint("dc-", i))
		err = firstError(err, f.AddServer(dataCentre, surgeMaxRunning,
			"--capacity", fmt.Sprint(surgeMaxRunning), "--batch-slope", fmt.Sprint(surgeSlope),
			"--first-token", surgeFirst.String(), "--between-tokens", fastBetween.String(), "--tokens", fmt.Sprint(surgeTokens)))
		if err == nil {
			err = f.AddEntry(dataCentre)
		}
	}
	if err == nil {
		err = f.MakeReady()
	}
	if err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func setDataCentreState(state lavconfig.ServingState) lavprocess.Operation {
	return lavprocess.Operation{Op: "replace", Path: "/DataCentres/dc-0/State", Value: state}
}

// sendAtConstantRate sends requests at equal intervals and returns the answers in the order of sending.
func sendAtConstantRate(t *loadTarget, rate float64, length time.Duration) []timedAnswer {
	ctx, cancel := context.WithTimeout(context.Background(), length+surgeEnd)
	defer cancel()
	count := int(rate * length.Seconds())
	all := make([]timedAnswer, count)
	began := time.Now()
	var group conc.WaitGroup
	for i := range count {
		at := time.Duration(float64(i) / rate * float64(time.Second))
		time.Sleep(time.Until(began.Add(at)))
		index := t.pick(nil)
		group.Go(func() {
			answer, err := t.send(ctx, index, fmt.Sprint("prompt ", i%promptVariants))
			all[i] = timedAnswer{sent: at, answer: answer, failed: err != nil || !answer.Complete}
		})
	}
	group.Wait()
	return all
}

// engineTruth holds the part of a fake engine's ground truth that the measurement reads.
type engineTruth struct{ Runs []struct{ Arrived time.Time } }

// lastArrival returns the time from left until the last request that the engine received before returnedAt, or zero if it
// received none.
func lastArrival(engine *lavprocess.Process, left, returnedAt time.Time) (time.Duration, error) {
	response, err := http.Get("http://" + engine.Address + "/truth") //nolint:noctx // the fake answers immediately
	if err != nil {
		return 0, errors.Wrap(err, "read the engine's runs")
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, errors.Wrap(err, "read the engine's runs")
	}
	var truth engineTruth
	if err := json.Unmarshal(data, &truth); err != nil {
		return 0, errors.Wrap(err, "decode the engine's runs")
	}
	last := time.Duration(0)
	for _, run := range truth.Runs {
		if run.Arrived.After(left) && run.Arrived.Before(returnedAt) {
			last = max(last, run.Arrived.Sub(left))
		}
	}
	return last, nil
}

func outageRow(sent []timedAnswer, stop time.Duration, seed uint64) lavreport.Row {
	lost := 0
	for _, one := range sent {
		if one.failed {
			lost++
		}
	}
	before := quantile(firstTokenTimes(sent, outageBefore, outageLeave), p95)
	during := quantile(firstTokenTimes(sent, outageLeave, outageReturn), p95)
	normal := outageRecoveryTime(sent, time.Duration(recoveryFactor*float64(before)))
	return lavreport.Row{
		Measure: "data centre (processes)", Case: "1 of 3 out at 0.6x and back", Policy: routerPolicy().name, Seed: seed,
		Figures: []lavreport.Figure{
			lavreport.Number("new work stopped s", stop.Seconds(), 2),
			lavreport.Number("sent", float64(len(sent)), 0),
			lavreport.Number("not answered", float64(lost), 0),
			lavreport.Number("first p95 before ms", millis(before), 0),
			lavreport.Number("during ms", millis(during), 0),
			lavreport.Number("normal after return s", normal.Seconds(), 0),
		},
		Aim:     "stops in 4 s, none lost, normal in 10 s",
		Verdict: lavreport.Judge(stop <= stopTarget && lost == 0 && normal <= recoveryTarget),
	}
}

// outageRecoveryTime returns how long after the return the p95 of a one-second interval last exceeded the limit, or zero if
// it never did.
func outageRecoveryTime(sent []timedAnswer, limit time.Duration) time.Duration {
	last := outageReturn
	for at := outageReturn; at < outageEnd; at += time.Second {
		if quantile(firstTokenTimes(sent, at, at+time.Second), p95) > limit {
			last = at + time.Second
		}
	}
	return last - outageReturn
}

// firstTokenTimes returns the times to first token of the requests sent in a period.
func firstTokenTimes(sent []timedAnswer, from, until time.Duration) []time.Duration {
	var samples []time.Duration
	for _, one := range sent {
		if one.sent >= from && one.sent < until && !one.failed {
			samples = append(samples, one.answer.First)
		}
	}
	return samples
}
