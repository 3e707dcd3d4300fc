# Short names for the commands of DEVELOPERS.md.

.PHONY: help check test lint burst scale

help: ## lists the commands
	@grep -E '^[a-z]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*## /\t/'

check: ## runs what CI runs
	.ci/run

test: ## runs all tests
	cargo test --workspace

lint: ## formats and lints
	cargo fmt --all
	cargo clippy --workspace --all-targets -- -D warnings

burst: ## brings new weights to 60 hosts on loopback
	cargo build --release --workspace
	cargo run --release -p rig -- burst

scale: ## measures what a process needs at 10, 30 and 100 hosts
	cargo build --release --workspace
	cargo run --release -p rig -- scale --hosts 10,30,100 --json
