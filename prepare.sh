#!/usr/bin/env bash
# Installs missing Debian packages and builds everything into build/.
set -euo pipefail
cd "$(dirname "$0")"
packages=(g++ cmake ninja-build pkg-config clang-format clang-tidy libtbb-dev libflatbuffers-dev
  flatbuffers-compiler prometheus-cpp-dev libboost-dev liblog4cplus-dev libexpected-dev doctest-dev
  nlohmann-json3-dev spin curl jq
  bsdextrautils)
if ! dpkg -s "${packages[@]}" >/dev/null 2>&1; then
  if [ "$(id -u)" != 0 ]; then
    echo "prepare.sh: run as root once, or install: ${packages[*]}" >&2
    exit 1
  fi
  apt-get update
  apt-get install -y "${packages[@]}"
fi
cmake -G Ninja -B build -DCMAKE_BUILD_TYPE=Release . >/dev/null
cmake --build build
