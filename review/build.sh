#!/usr/bin/env bash
# Builds the programs of the scripts, with their stand-ins, into review/build.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
flags="-std=c++20 -O1 -Wall -Wextra -I. -pthread"
for part in http store upstream deployment; do
  g++ $flags -c "stand_ins/$part.cc" -o "build/$part.o" &
done
wait
for case in [0-9]*/case.cc; do
  [ -e "$case" ] || continue
  g++ $flags "$case" build/{http,store,upstream,deployment}.o -lfmt \
    -o "build/case_$(dirname "$case")"
done
