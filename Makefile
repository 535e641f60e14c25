# Everything needs Go and git; the model check also needs spin and a C compiler.
GOLANGCI_VERSION = v2.15.0

.PHONY: build test lint model demo fleet bench

build:
	go build -o bin/radishshed ./cmd/radishshed

# One package at a time: the proofs start many processes.
test:
	go test -count=1 -p 1 -timeout 20m ./...

lint:
	@test -z "$$(gofmt -l .)" || (gofmt -l . && false)
	go vet ./...
	go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION) run ./...

model:
	scripts/model.sh

demo:
	scripts/fleet.sh demo

fleet:
	scripts/fleet.sh serve

bench:
	go test -run none -bench Stream -benchtime 3000x ./internal/router
