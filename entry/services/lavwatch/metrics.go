package lavwatch

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"lavenderswitch/core/models/lavid"
)

// The values of the source label.
const (
	sourceStore = "store"
	sourcePeer  = "peer"
)

// Metrics holds the ages and sources of what this host learns of the store.
type Metrics struct {
	ages    *prometheus.HistogramVec
	returns *prometheus.CounterVec
}

// NewMetrics registers the metrics of a watcher.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	factory := promauto.With(registerer)
	return &Metrics{
		ages: factory.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "lavenderswitch_store_knowledge_age_seconds",
			Help:    "Age of what is known of a part of the store when it is learnt or confirmed, by source: an own read, or another entry host.",
			Buckets: []float64{0.01, 0.03, 0.1, 0.3, 0.5, 0.8, 1.2, 1.6, 2, 3, 4},
		}, []string{"part", "source"}),
		returns: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "lavenderswitch_store_returns_total",
			Help: "Returns of the store from a copy that lacks what was written last, by source: an own read, or another entry host.",
		}, []string{"source"}),
	}
}

// observe records the age of a part; the source is empty for an own read. The metrics may be nil.
func (m *Metrics) observe(part Part, age time.Duration, source lavid.HostID) {
	if m == nil {
		return
	}
	m.ages.WithLabelValues(string(part), sourceLabel(source)).Observe(age.Seconds())
}

// countReturn counts a return of the store; the source is empty for an own read. The metrics may be nil.
func (m *Metrics) countReturn(source lavid.HostID) {
	if m != nil {
		m.returns.WithLabelValues(sourceLabel(source)).Inc()
	}
}

func sourceLabel(source lavid.HostID) string {
	if source == "" {
		return sourceStore
	}
	return sourcePeer
}
