package lavload

import "lavenderswitch/tests/measures/lavreport"

// Measures returns the measurements of this package in the order in which they run.
func Measures() []lavreport.Measure {
	return []lavreport.Measure{
		{Name: "latency", Run: Latency},
		{Name: "cold start", Run: ColdStart},
		{Name: "data centre", Run: DataCentre},
		{Name: "fairness", Run: Fairness},
		{Name: "overhead", Run: Overhead},
		{Name: "surge", Run: Surge},
		{Name: "outage", Run: Outage},
	}
}
