# Versions of tools are pinned here, so that CI and every contributor run the same ones.
LINT := github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.12.2
FUMPT := mvdan.cc/gofumpt@v0.12.0
WIRE := github.com/google/wire/cmd/wire@v0.7.0
MODULES := $(shell go list -f '{{.Dir}}' -m)
PACKAGES := $(addsuffix /...,$(MODULES))
# A name with a slash skips only that case of the test.
SKIP := $(shell sed -n 's/^test: *//p' KNOWN-RED.txt | sed 's,/,$$/^,g; s,^,^,; s,$$,$$,' | paste -sd'|')

.PHONY: demo build test lint format generate ci

demo: ## run the whole cell in one process
	go run ./cmd/pfdemo

build:
	go build -o bin/ $(wildcard ./cmd/*)

test: ## pass the tests; those listed in KNOWN-RED.txt are printed and skipped
	@sed -n 's/^test: */known red: /p' KNOWN-RED.txt
	go test -race -count=1 -timeout 20m $(if $(SKIP),-skip '$(SKIP)') $(PACKAGES)

lint:
	@out="$$(go run $(FUMPT) -l fold cmd platform)"; test -z "$$out" || { echo "not formatted:"; echo "$$out"; exit 1; }
	@for m in $(MODULES); do (cd $$m && go run $(LINT) run --config $(CURDIR)/.golangci.yml ./...) || exit 1; done

format:
	go run $(FUMPT) -w fold cmd platform

generate:
	cd fold/daemon && go run $(WIRE) gen .

ci: lint
	$(MAKE) generate
	git diff --exit-code -- fold/daemon/wire_gen.go
	$(MAKE) build
	$(MAKE) test
