.PHONY: measure
measure: build ## measure the decisions against their baselines and print one table
	go run ./tests/cmd/lavmeasure -plots docs/plots
