#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8, after the build of the deploy file. Needs the Rust tool chain only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/stand-in-2/*.rs; do
  name=$(basename "$source" .rs)
  [ "$name" = mesh ] && continue
  rustc --edition 2024 -O -A dead_code -o "target/review-2/$name" "$source"
done
