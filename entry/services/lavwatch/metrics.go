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
	ages *prometheus.HistogramVec
}

// NewMetrics registers the metrics of a watcher.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	return &Metrics{ages: promauto.With(registerer).NewHistogramVec(prometheus.HistogramOpts{
		Name:    "lavenderswitch_store_knowledge_age_seconds",
		Help:    "Age of what is known of a part of the store when it is learnt or confirmed, by source: an own read, or another entry host.",
		Buckets: []float64{0.01, 0.03, 0.1, 0.3, 0.5, 0.8, 1.2, 1.6, 2, 3, 4},
	}, []string{"part", "source"})}
}

// observe records the age of a part; the source is empty for an own read. The metrics may be nil.
func (m *Metrics) observe(part Part, age time.Duration, source lavid.HostID) {
	if m == nil {
		return
	}
	label := sourceStore
	if source != "" {
		label = sourcePeer
	}
	m.ages.WithLabelValues(string(part), label).Observe(age.Seconds())
}
