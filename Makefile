# Set-up of a fresh machine: see README.md. Everything below runs offline once
# the Go modules are there.

GO ?= go
STATICCHECK = $(GO) tool -modfile=tools/go.mod staticcheck
VERSION ?= $(shell git describe --tags --always --dirty 2>/dev/null || echo unknown)
LDFLAGS = -X github.com/levertide/levertide/internal/daemon.Version=$(VERSION) -X main.version=$(VERSION)

.PHONY: build demo test lint mutants generate check-generated clean

## build: compile the three programs into bin/
build:
	$(GO) build -ldflags '$(LDFLAGS)' -o bin/ ./cmd/...

## demo: start a small mesh on this machine and show a change go in force
demo: build
	bin/levertide-lab demo

## test: everything that CI runs
test: lint check-generated
	scripts/go-test.sh

## lint: formatter, vet and staticcheck
lint:
	@unformatted="$$(gofmt -l cmd platform internal pkg tests examples)"; \
	if [ -n "$$unformatted" ]; then echo "gofmt needed:"; echo "$$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(STATICCHECK) ./...

## mutants: play the soak with each broken variant; minutes, no part of CI
mutants:
	scripts/mutants.sh

## generate: write the code that comes from the protocol descriptions
generate:
	scripts/generate.sh control internal/controlpb
	scripts/generate.sh exchange internal/exchangepb

## check-generated: compare the committed code with what protoc writes, if it is here
check-generated:
	scripts/check-generated.sh

## clean: remove what build wrote
clean:
	rm -f bin/levertide bin/levertided bin/levertide-lab
