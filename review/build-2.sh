#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 in target/review-2. Run after the build of the deploy
# file, from anywhere.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/stand_ins_2/*.cc; do
  name=$(basename "$source" .cc)
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -o "target/review-2/$name" "$source" \
    -Ireview/stand_ins_2 -lboost_json -pthread
done
