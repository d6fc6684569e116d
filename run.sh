#!/usr/bin/env bash
# Installs the dependencies, builds, and runs demo.sh: three failure domains, one request, one batch
# task, one settings change.
set -euo pipefail
cd "$(dirname "$0")"
./prepare.sh
./demo.sh
