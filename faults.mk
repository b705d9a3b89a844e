.PHONY: faults

FAULTS_REPORT ?= $(CURDIR)/faults.txt

faults: ## run the complete fault matrix and print its report
	@cd tests && LAVENDER_FAULTS=all LAVENDER_FAULTS_REPORT=$(FAULTS_REPORT) go test ./faults -run TestMatrix -count=1 -parallel 4 -timeout 60m -v >$(FAULTS_REPORT).log 2>&1; code=$$?; cat $(FAULTS_REPORT); exit $$code
