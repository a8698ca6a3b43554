#!/bin/bash
# Builds the stand-ins that the scripts of review/11 to review/15 start, after the build of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build-review-3
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -Ireview/stand_ins_3)
g++ "${flags[@]}" -c review/stand_ins_3/lab.cc -o "$out/lab.o"
for source in review/stand_ins_3/*.cc; do
  name=$(basename "$source" .cc)
  [ "$name" = lab ] && continue
  g++ "${flags[@]}" "$source" "$out/lab.o" -lboost_json -pthread -o "$out/$name"
done
