# Everything needs only Go and git; spin is used for the model check if it is there.
GOLANGCI_VERSION = v2.15.0

.PHONY: build test lint demo fleet

build:
	go build -o bin/radishshed ./cmd/radishshed

test:
	go test -count=1 ./...

lint:
	gofmt -l . | tee /dev/stderr | (! grep -q .)
	go vet ./...
	go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION) run ./...

demo:
	scripts/fleet.sh demo

fleet:
	scripts/fleet.sh serve
