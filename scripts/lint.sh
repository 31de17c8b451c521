#!/usr/bin/env bash
# Checks format and lint of the project's own files. Usage: scripts/lint.sh [build folder] [jobs]
# clang-tidy results are cached by content, so an unchanged translation unit is checked once.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
jobs=${2:-$(nproc)}
mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.h' '*.cpp' | grep -v '\.pb\.' | while read -r f; do [ -e "$f" ] && echo "$f"; done)
clang-format --dry-run -Werror "${files[@]}"
cache="$build/tidy-cache"
mkdir -p "$cache"
headers=$(printf '%s\n' "${files[@]}" | grep '\.h$' | sort | xargs cat .clang-tidy | sha256sum | cut -d' ' -f1)
printf '%s\n' "${files[@]}" | grep '\.cpp$' | xargs -P "$jobs" -I{} bash -c '
    key=$( (echo '"$headers"'; cat {}) | sha256sum | cut -d" " -f1)
    [ -e '"$cache"'/$key ] && exit 0
    clang-tidy --quiet -p '"$build"' {} 2>/dev/null && touch '"$cache"'/$key || { echo "clang-tidy: {}"; exit 1; }'
echo "format and lint: clean (${#files[@]} files)"
