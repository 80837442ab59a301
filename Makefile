FACTS ?= facts.json

.PHONY: build test lint run

build:
	cargo build --release

test:
	.ci/run

lint:
	cargo fmt --all --check
	cargo clippy --locked --workspace --all-targets -- -D warnings

run: build
	target/release/ochreshed serve --facts $(FACTS)
