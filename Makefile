FACTS ?= facts.json

.PHONY: build test lint run bench mesh

build:
	cargo build --release

test:
	.ci/run

lint:
	cargo fmt --all --check
	cargo clippy --locked --workspace --all-targets -- -D warnings

run: build
	target/release/ochreshed serve --facts $(FACTS)

# Takes minutes, needs an otherwise idle machine, and is not part of CI.
bench:
	cargo bench -p ochreshed-policy-runtime --bench request_cost
	cargo bench -p ochreshed-balancer --bench sockets
	cargo bench -p ochreshed-balancer --bench claims
	cargo bench -p ochreshed-balancer --bench federation
	cargo bench -p ochreshed-balancer --bench roaming_sessions

# Runs a mesh on this machine until Enter is pressed.
mesh:
	cargo test -p ochreshed-balancer --test interactive_mesh -- --ignored --nocapture
