#!/usr/bin/env bash
# Builds and runs the measurement program and writes its output to docs/MEASUREMENTS.md.
# Usage: scripts/measure.sh [seeds]
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --preset dev >/dev/null
cmake --build --preset dev -j3 -t bench-measure >/dev/null
build/bench-measure "${1:-3}" >build/MEASUREMENTS.md
mv build/MEASUREMENTS.md docs/MEASUREMENTS.md
echo "wrote docs/MEASUREMENTS.md"
