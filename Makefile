# The README's two commands are `make demo` and `make test`.

GOLANGCI_LINT_VERSION := v2.15.0
BIN := $(CURDIR)/bin
LINT := $(BIN)/tools/golangci-lint

.PHONY: all build test demo demo-kill demo-entry lint format unit clean fuzz mutants bench docs docs-check rolling drills cost up api-check soak regression

all: build

build:
	go build -o $(BIN)/ ./cmd/...

# The linter is installed by version and outside go.mod, so that its
# dependencies do not weigh on the product's.
$(LINT):
	GOBIN=$(BIN)/tools go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_LINT_VERSION)

lint: $(LINT)
	$(LINT) fmt --diff
	$(LINT) run --allow-parallel-runners ./...

format: $(LINT)
	$(LINT) fmt

unit:
	hack/unit.sh

test: lint docs-check unit

clean:
	rm -rf $(BIN) run

# Runs the whole path with stand-ins, three instances, and callers.
demo: build
	hack/demo.sh

# Kills an instance between two turns of a session.
demo-kill: build
	hack/demo-kill.sh

# Goes on fuzzing with new seeds for FUZZ_TIME and prints what fails.
FUZZ_TIME ?= 10m
fuzz:
	hack/fuzz.sh $(FUZZ_TIME)

# Applies each listed mutation to a scratch copy and sees whether tests fail.
mutants:
	hack/mutants.sh

# Measures the policy against its baselines and renews docs/MEASUREMENTS.md.
bench:
	go run ./cmd/wigeonbench policy --seeds 5 --out docs

# Renews the tables in docs/ that are made from the code.
docs:
	go run ./hack/docscheck --write

# Fails on a dead link, or an event, error kind, metric or setting that docs/ lacks.
docs-check:
	go run ./hack/docscheck

# Stops and starts each of three real instances in turn under load.
rolling: build
	hack/rolling.sh

# Provokes each failure on real processes; see docs/operators/drills.md.
drills: build
	hack/drills.sh

# Measures the cost on real processes; see docs/CAPACITY.md.
cost: build
	hack/cost.sh

# Keeps the demonstration's processes running, for the examples of docs/API.md.
up: build
	hack/up.sh

# Runs the examples of docs/API.md.
api-check: build
	hack/api-check.sh

# Scores the regression deployments with the users' bench; see hack/regression.sh.
regression:
	hack/regression.sh

# Runs the fault soak: SOAK_SEEDS seeds from SOAK_SEED, each for SOAK_TIME, and SOAK_DAYS days of
# losses of all instances, which last up to a minute and a half.
SOAK_SEED ?= 1
SOAK_SEEDS ?= 3
SOAK_TIME ?= 6s
SOAK_DAYS ?= 1
soak: build
	$(BIN)/wigeonsoak --seed $(SOAK_SEED) --seeds $(SOAK_SEEDS) --length $(SOAK_TIME)
	$(BIN)/wigeonsoak --losses --instances 12 --seed $(SOAK_SEED) --seeds $(SOAK_DAYS)
