#!/usr/bin/env bash
# Builds the stand-ins of all scripts into review/build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/build
flags=(-std=c++20 -O2 -Wall -Wextra -pthread -Ireview/stand_ins)
for source in http_message store deployment versioned_store; do
  "${CXX:-g++}" "${flags[@]}" -c "review/stand_ins/$source.cc" -o "review/build/$source.o" &
done
wait
for source in review/[1-5]/*.cc; do
  [ -e "$source" ] || continue
  "${CXX:-g++}" "${flags[@]}" "$source" review/build/{http_message,store,deployment,versioned_store}.o \
    -o "review/build/$(basename "$(dirname "$source")")-$(basename "$source" .cc)"
done
