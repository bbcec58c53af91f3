#!/usr/bin/env bash
# Builds the programs of the cases, which contain all their stand-ins, into
# target/ in the repository root.
set -euo pipefail
cd "$(dirname "$0")/.."
for case in 1 2 3; do
	if [ -f "review/$case/main.go" ]; then
		go build -o "target/review-$case" "./review/$case"
	fi
done
