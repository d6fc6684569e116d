#!/usr/bin/env bash
# Regenerates the golden files from the current behavior; review the diff before committing it.
set -euo pipefail
cd "$(dirname "$0")"
cmake --build build --target golden_test
ACACIADEAL_UPDATE_GOLDEN=1 build/tests/golden/golden_test
git diff --stat -- tests/golden/sessions
