#!/usr/bin/env bash
# Runs the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.."
if [ ! -x target/release/ochreshed ] || [ ! -x target/review-2/drain ]; then
  echo "build first: cargo build --release --locked, then review/build-2.sh"
  exit 2
fi
# TROUBLE=0: the same without the disruption.
export TROUBLE="${TROUBLE:-1}"
exec target/review-2/drain review/6/record.txt
