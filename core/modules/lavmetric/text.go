package lavmetric

import (
	"expvar"
	"fmt"
	"net/http"
	"strings"
)

// ServeHTTP writes one line of name and value for each counter and each percentile of a histogram.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	s.vars.Do(func(entry expvar.KeyValue) {
		name := metricName(entry.Key)
		computed, ok := entry.Value.(expvar.Func)
		if !ok {
			_, _ = fmt.Fprintf(w, "lavenderswitch_%s %s\n", name, entry.Value)
			return
		}
		summary, ok := computed.Value().(Summary)
		if !ok {
			return
		}
		_, _ = fmt.Fprintf(w, "lavenderswitch_%s_count %d\n", name, summary.Count)
		for quantile, micros := range map[string]int64{"0.5": summary.P50Micros, "0.95": summary.P95Micros, "0.99": summary.P99Micros, "1": summary.MaxMicros} {
			_, _ = fmt.Fprintf(w, "lavenderswitch_%s_micros{quantile=%q} %d\n", name, quantile, micros)
		}
	})
}

// metricName writes a name of the project's in the usual lower case of metrics.
func metricName(name string) string {
	var text strings.Builder
	for i, letter := range name {
		switch {
		case letter == ' ':
			text.WriteByte('_')
		case letter >= 'A' && letter <= 'Z':
			if i > 0 {
				text.WriteByte('_')
			}
			text.WriteRune(letter - 'A' + 'a')
		default:
			text.WriteRune(letter)
		}
	}
	return text.String()
}
