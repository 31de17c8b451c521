#!/usr/bin/env bash
# Runs clang-format and clang-tidy on the project's own files. Usage: scripts/lint.sh [build folder] [jobs]
# Clean clang-tidy results are cached by the content of a source and of the project headers that it includes, so an
# unchanged translation unit is checked only once.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
jobs=${2:-$(nproc)}
mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.h' '*.cpp' | grep -v '\.pb\.' | while read -r f; do [ -e "$f" ] && echo "$f"; done)
clang-format --dry-run -Werror "${files[@]}"
cache="$build/tidy-cache"
mkdir -p "$cache"
# Each line contains a source and one project file that it includes, as recorded by the last build.
ninja -C "$build" -t deps | awk -v root="$PWD/" '
    /: #deps/ { source = ""; next }
    /^    / { sub(/^ +/, ""); if (index($0, root) != 1) next; f = substr($0, length(root) + 1); if (source == "") source = f; print source, f }
' | sort -u > "$cache/deps"
check() {
    deps=$(awk -v s="$1" '$1 == s { print $2 }' "$2/deps")
    # A source that is not built yet is assumed to depend on all headers.
    [ -n "$deps" ] || deps="$1 $(git ls-files '*.h')"
    key=$(cat .clang-tidy $deps | sha256sum | cut -d' ' -f1)
    [ -e "$2/$key" ] && return 0
    clang-tidy --quiet -p "$3" "$1" 2>/dev/null && touch "$2/$key" || { echo "clang-tidy: $1"; return 1; }
}
export -f check
printf '%s\n' "${files[@]}" | grep '\.cpp$' | xargs -P "$jobs" -I{} bash -c 'check {} '"$cache $build"
echo "format and lint: clean (${#files[@]} files)"
