#!/usr/bin/env bash
# Builds the programs that the scripts of review/11 and review/14 start. The stand-in of the store is a header of the
# project, which they include.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
for name in pipelined outage; do
    [ -f "review/support-3/$name.cpp" ] || continue
    g++ -std=c++20 -O2 -Wall -Wextra -o "$out/$name" "review/support-3/$name.cpp" -lpthread
done
