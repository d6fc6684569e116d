#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, into target/review/. The daemon comes
# from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
for source in review/standins/*.cpp packages/base/{resultcode,resources,event}.cpp \
  packages/runtime/{eventloop,bootclock}.cpp \
  packages/http/{httpserver,httpclient,httprouter,listener}.cpp \
  tests/standins/faultyserver.cpp tests/failure/process.cpp; do
  printf '%s\0%s\0' "$source" "target/review/$(echo "${source%.cpp}" | tr '/' '-').o"
done | xargs -0 -n 2 -P 4 bash -c 'g++ -std=c++20 -O1 -Ipackages -Itests -c "$0" -o "$1"'
g++ target/review/*.o -o target/review/reviewcase -lpthread
