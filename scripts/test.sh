#!/usr/bin/env bash
# Installs missing packages, builds with warnings as errors, checks format and lint, and runs all tests.
# Tests listed in KNOWN-RED.txt (lines "test: NAME") are run and their results printed, but they do not fail the run.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
cmake --preset dev >/dev/null
cmake --build --preset dev
scripts/lint.sh build
red=$(sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' - || true)
if [ -n "$red" ]; then
    echo "known failing tests (KNOWN-RED.txt):"
    ctest --test-dir build --output-on-failure -R "^($red)\$" || true
    ctest --test-dir build --output-on-failure -j4 -E "^($red)\$"
else
    ctest --test-dir build --output-on-failure -j4
fi
