#!/usr/bin/env bash
# Checks the format and runs clang-tidy on the project's own sources.
# Usage: ./lint.sh [--fix] [FILE...]   Without files, all sources are checked.
set -euo pipefail
cd "$(dirname "$0")"
fix=false
if [ "${1:-}" = "--fix" ]; then
  fix=true
  shift
fi
if [ $# -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.h' '*.cpp' \
    | grep -v '/generated/')
fi
if $fix; then
  clang-format -i "${files[@]}"
else
  clang-format --dry-run --Werror "${files[@]}"
fi
# Skips clang-tidy for a file that has passed with the same content, options and headers.
mkdir -p build/lint
stamp=$(cat .clang-tidy $(git ls-files --cached --others --exclude-standard '*.h') | sha256sum)
export stamp
check() {
  local key
  key=$(cat "$1" <(echo "$stamp") | sha256sum | cut -d' ' -f1)
  [ -e "build/lint/$key" ] && return 0
  clang-tidy --quiet -p build "$1" 2>/dev/null && touch "build/lint/$key"
}
export -f check
printf '%s\n' "${files[@]}" | grep '\.cpp$' | xargs -P "$(nproc)" -I{} bash -c 'check {}'
