.PHONY: measure
measure: build ## measure routing decisions against their baselines and print the results as one table
	go run ./tests/cmd/lavmeasure -plots docs/plots
