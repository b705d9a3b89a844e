package lavforward

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/models/lavroute"
)

// The labels of the metrics of forwarding.
const (
	labelKind    = "kind"
	labelOutcome = "outcome"
	labelService = "service"
	labelServer  = "backend_server"
	labelReason  = "reason"
	labelResult  = "result"
	labelStatus  = "status"
)

// The values of the result label of a send.
const (
	sendAnswered = "answered"
	sendDropped  = "dropped"
	sendRefused  = "refused"
	sendFailed   = "failed"
	sendDamaged  = "damaged"
	sendLost     = "lost"
	sendBrokeOff = "broke_off"
)

// The values of the result label of a notice.
const (
	noticeLeaving = "leaving"
	noticePause   = "pause"
	noticeLimit   = "limit"
)

// The values of the result label of a decision about a request that servers ended with.
const (
	quarantineRefused = "refused"
	quarantineTrial   = "trial"
)

// latencyBuckets holds the upper bounds of the histograms in seconds, from a short call of a plain service to the longest
// stream.
var latencyBuckets = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 16, 32}

// Metrics counts requests and sends by their outcome.
type Metrics struct {
	requests          *prometheus.CounterVec
	refusals          *prometheus.CounterVec
	sends             *prometheus.CounterVec
	repeats           *prometheus.CounterVec
	escalations       *prometheus.CounterVec
	withheldRuns      *prometheus.CounterVec
	promptTokens      *prometheus.CounterVec
	enginePrice       *prometheus.GaugeVec
	slowCallers       *prometheus.CounterVec
	heldBytes         prometheus.Gauge
	notices           *prometheus.CounterVec
	quarantine        *prometheus.CounterVec
	inProgress        prometheus.Gauge
	duration          *prometheus.HistogramVec
	firstEvent        *prometheus.HistogramVec
	serverFirstAnswer *prometheus.HistogramVec
	predictionRatio   *prometheus.HistogramVec
	waiting           *prometheus.GaugeVec
	waited            *prometheus.HistogramVec

	mu sync.Mutex
	// servers holds the backend servers for which sends has label values.
	servers map[lavid.BackendServerID]bool
}

// NewMetrics registers the metrics of forwarding.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	factory := promauto.With(registerer)
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return factory.NewCounterVec(prometheus.CounterOpts{Name: "lavenderswitch_" + name, Help: help}, labels)
	}
	histogram := func(name, help string, labels ...string) *prometheus.HistogramVec {
		return factory.NewHistogramVec(prometheus.HistogramOpts{Name: "lavenderswitch_" + name, Help: help, Buckets: latencyBuckets}, labels)
	}
	predictionRatio := factory.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "lavenderswitch_first_event_prediction_ratio",
		Help:    "Time to an engine's first event, divided by the predicted time.",
		Buckets: []float64{0.25, 0.5, 0.67, 0.8, 1, 1.25, 1.5, 2, 4, 8},
	}, []string{labelService})
	return &Metrics{
		predictionRatio:   predictionRatio,
		waiting:           factory.NewGaugeVec(prometheus.GaugeOpts{Name: "lavenderswitch_requests_waiting", Help: "Requests that wait at this host until an engine can serve them in time."}, []string{labelService}),
		waited:            histogram("request_wait_seconds", "Time that a request waited at this host until an engine could serve it in time.", labelService),
		servers:           make(map[lavid.BackendServerID]bool),
		requests:          counter("requests_total", "Requests that ended, by kind and outcome.", labelKind, labelOutcome),
		refusals:          counter("refusals_total", "Requests that were refused, by kind and status.", labelKind, labelStatus),
		sends:             counter("sends_total", "Sends to each backend server, by result.", labelService, labelServer, labelResult),
		repeats:           counter("repeats_total", "Requests to the repeat budget for a further send; the result refused means that it was used up.", labelService, labelResult),
		escalations:       counter("escalations_total", "Answers of smaller models that were dropped in favour of a larger model.", labelService),
		withheldRuns:      counter("withheld_second_runs_total", "Answers of smaller models that were delivered although a larger model was wanted, by reason: time, engines, budget or runs.", labelService, labelReason),
		promptTokens:      counter("prompt_tokens_total", "Tokens of the prompts sent to engines, by whether the engine was known to hold them: held or unread.", labelService, labelResult),
		enginePrice:       factory.NewGaugeVec(prometheus.GaugeOpts{Name: "lavenderswitch_engine_time_price", Help: "Right answers that a second run by a larger model has to bring for each second that an engine reads for it."}, []string{labelService}),
		slowCallers:       counter("slow_callers_ended_total", "Streams that were ended as their callers read too slowly and the bytes held for all callers were used up.", labelService),
		heldBytes:         factory.NewGauge(prometheus.GaugeOpts{Name: "lavenderswitch_held_bytes", Help: "Bytes of streams that this host holds for callers who read slowly."}),
		notices:           counter("server_notices_total", "Answers in which a backend server first stated that it leaves, asked for a pause, or stated another limit.", labelService, labelResult),
		quarantine:        counter("quarantine_decisions_total", "Requests that backend servers ended with, or with a part of their prompts: refused, or sent as a trial.", labelService, labelResult),
		inProgress:        factory.NewGauge(prometheus.GaugeOpts{Name: "lavenderswitch_requests_in_progress", Help: "Requests that are being forwarded."}),
		duration:          histogram("request_duration_seconds", "Time from a request's arrival to its end.", labelKind, labelOutcome),
		firstEvent:        histogram("first_event_seconds", "Time from a streamed request's arrival to its first event.", labelKind),
		serverFirstAnswer: histogram("server_first_answer_seconds", "Time from a send to the head of the server's answer.", labelService),
	}
}

// DropServersExcept removes the send counters of all backend servers except the given ones, which bounds the number of
// label values.
func (m *Metrics) DropServersExcept(kept map[lavid.BackendServerID]bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id := range m.servers {
		if !kept[id] {
			m.sends.DeletePartialMatch(prometheus.Labels{labelServer: string(id)})
			delete(m.servers, id)
		}
	}
}

func (m *Metrics) countSend(chosen choice, result string) {
	m.mu.Lock()
	m.servers[chosen.ID] = true
	m.mu.Unlock()
	m.sends.WithLabelValues(string(chosen.Service), string(chosen.ID), result).Inc()
}

func (m *Metrics) countPrompt(chosen choice, tokens lavid.Tokens) {
	held := min(chosen.heldTokens, tokens)
	m.promptTokens.WithLabelValues(string(chosen.Service), "held").Add(float64(held))
	m.promptTokens.WithLabelValues(string(chosen.Service), "unread").Add(float64(tokens - held))
}

func (m *Metrics) countRepeat(service lavid.ServiceID, allowed bool) {
	result := "refused"
	if allowed {
		result = "taken"
	}
	m.repeats.WithLabelValues(string(service), result).Inc()
}

func (m *Metrics) countNotice(chosen choice, notice string) {
	m.notices.WithLabelValues(string(chosen.Service), notice).Inc()
}

func (m *Metrics) countRequest(kind lavroute.Kind, outcome string, took, firstEvent time.Duration) {
	m.requests.WithLabelValues(kind.String(), outcome).Inc()
	m.duration.WithLabelValues(kind.String(), outcome).Observe(took.Seconds())
	if firstEvent > 0 {
		m.firstEvent.WithLabelValues(kind.String()).Observe(firstEvent.Seconds())
	}
}
