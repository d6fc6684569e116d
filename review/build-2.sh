#!/usr/bin/env bash
# Builds the stand-ins of the cases from 6 on into target/review-2. Needs what the build of the
# deploy file needs.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread \
  review/standins-2/*.cpp -o target/review-2/review-2
