#!/usr/bin/env bash
# Builds the programs that review/11/run.sh and review/13/run.sh start, with their stand-ins, into target/review-3/. The
# stand-in of the store is a header of the project, which they include. Run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/support-3/*.cc; do
    name=$(basename "$source" .cc)
    g++ -std=c++20 -O1 -pthread -o "target/review-3/$name" "$source" -lxxhash
done
