#!/usr/bin/env bash
# Installs, builds, checks format and lint, and runs all tests. Usage: ./test.sh [--no-lint]
set -euo pipefail
cd "$(dirname "$0")"
./prepare.sh
if [ "${1:-}" != "--no-lint" ]; then
  ./lint.sh
fi
if [ -s KNOWN-RED.txt ]; then
  echo "Known failures, see KNOWN-RED.txt:"
  cat KNOWN-RED.txt
fi
ctest --test-dir build --output-on-failure -j 4
