.PHONY: capacity
capacity: build ## measure how state, messages, processor time and memory grow; see docs/CAPACITY.md
	go run ./tests/cmd/lavcapacity
