#!/usr/bin/env bash
# Runs this case. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 runs it without the disruption.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
program="review/target/case-$(basename "$folder")"
if [ ! -x "$program" ] || [ ! -x target/buckthorncroft-gateway ]; then
    echo "run the build of deploy/system.toml and review/build.sh first" >&2
    exit 2
fi
directory=$(mktemp -d)
trap 'rm -rf "$directory"' EXIT
timeout -k 2 115 "$program" "$folder" "$directory"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
