#!/usr/bin/env bash
# Builds the programs of the scripts, with their stand-ins, into review/target/. Run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/target
for source in review/[1-5]/case.cc; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -pthread -o "review/target/case-$number" "$source" &
done
status=0
for job in $(jobs -p); do
    wait "$job" || status=1
done
exit "$status"
