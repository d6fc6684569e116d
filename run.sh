#!/usr/bin/env bash
# Installs, builds, and runs the demonstration: three failure domains, one request, one batch task,
# one settings change.
set -euo pipefail
cd "$(dirname "$0")"
./prepare.sh
./demo.sh
