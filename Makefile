# Targets for developers and operators, to be run in a checkout.
GO ?= go
LINT = $(GO) run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
BIN = bin
# The replays of placement take minutes with the race detector on a busy machine.
TEST_TIMEOUT = 20m

.PHONY: all build test lint check-format bench demo run faults faults-short soak soak-short soak-fresh soak-mixed soak-mixed-short previous clean

all: build

build:
	$(GO) build -o $(BIN)/ ./cmd/...

# Runs all tests with the race detector and without cached results. The last line of
# the output is "N passed, N failed".
test: build
	@$(GO) test -race -count=1 -timeout $(TEST_TIMEOUT) -json ./... | $(GO) run ./tools/cireport -known KNOWN-RED.txt

check-format:
	@test -z "$$(gofmt -l .)" || { echo "gofmt needed:"; gofmt -l .; exit 1; }

lint:
	$(LINT) run ./...

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./...

demo: build
	$(GO) run ./tools/demo -bin $(BIN)

run: build
	$(GO) run ./tools/fleet -bin $(BIN)

faults: build
	$(GO) run ./tools/faults -bin $(BIN)

# The short form for CI. The machine may be busy, so answers may arrive up to 30 s
# after their time limit; all other checks are as strict as in the long form.
faults-short: build
	$(GO) run ./tools/faults -bin $(BIN) -seed 1 -duration 20s -slack 30s

# The soak test: overlapping faults of a deployment on stand-ins of the users'
# platform. soak-short runs seed 1 and the seeds in tools/faults/seeds.txt, which
# failed in the past.
soak: build
	$(GO) run ./tools/faults -bin $(BIN) -platform -seed $(or $(SEED),1) -duration 60s

soak-short: build
	for seed in 1 $$(grep -o '^[0-9]*' tools/faults/seeds.txt); do \
		$(GO) run ./tools/faults -bin $(BIN) -platform -seed $$seed -duration 12s -slack 10s || exit 1; done

soak-fresh: build
	$(GO) run ./tools/faults -bin $(BIN) -platform -seed $$(date +%s) -duration 180s

# Builds the programs of the commit that deploy/system.toml names as production.
PRODUCTION = $(shell sed -n 's/^production = "\(.*\)"/\1/p' deploy/system.toml)
previous:
	tools/previous.sh $(PRODUCTION) $(BIN)/previous

# The soak with instances of this build and of production side by side.
soak-mixed: build previous
	$(GO) run ./tools/faults -bin $(BIN) -previous $(BIN)/previous -platform -instances 4 -seed $(or $(SEED),1) -duration 25s -slack 10s

# The form for CI. A clone without history has no production build.
soak-mixed-short:
	@if git cat-file -e "$(PRODUCTION)^{commit}"; then $(MAKE) --no-print-directory soak-mixed; \
	else echo "soak-mixed not run: this clone lacks $(PRODUCTION)"; fi

clean:
	rm -rf $(BIN)
