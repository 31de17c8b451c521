#!/usr/bin/env bash
# Builds the programs that the scripts of the cases from 6 on start, into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/support-2/*.cc; do
    name=$(basename "$source" .cc)
    g++ -std=c++20 -O1 -g -pthread -I. "$source" -o "target/review-2/$name" -lfmt -lxxhash
done
