GO ?= go
BIN := bin
LINTER := github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0

.PHONY: build test lint format demo bench soak soak-seeds clean

# For soak: the first seed, the number of consecutive seeds, and the time in seconds
# for which faults are injected with each.
SEED ?= 1
SEEDS ?= 1
SECONDS_EACH ?= 30

build:
	$(GO) build -o $(BIN)/trefoilspring .
	$(GO) build -o $(BIN)/standin ./standin

test: build
	$(GO) vet ./...
	./script/test

lint:
	$(GO) run $(LINTER) run ./...

format:
	$(GO) run $(LINTER) fmt ./...

demo: build
	./script/demo

bench: build
	$(GO) test -run '^$$' -bench . -benchmem ./...
	$(BIN)/standin compare --seed 1 --size today
	$(BIN)/standin compare --seed 1 --size aim

soak: build
	$(BIN)/standin soak --seed $(SEED) --seeds $(SEEDS) --length $(SECONDS_EACH)s

# Repeats the soak with the seeds in test/soak/seeds, each of which once found a
# failure; the list names its cause.
soak-seeds: build
	grep -v '^#' test/soak/seeds | while read -r seed seconds cause; do \
	  echo "seed $$seed: $$cause" && \
	  $(BIN)/standin soak --binary $(BIN)/trefoilspring --seed "$$seed" --length "$${seconds}s" </dev/null || exit 1; \
	done

clean:
	rm -rf $(BIN) out
