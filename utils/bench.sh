#!/usr/bin/env bash
# Builds in Release mode, runs benchmarks and prints one figure per line: name value unit. Each argument is the name
# of a benchmark (fleet, membership, ...) or a prefix of figure names. Without arguments, runs all benchmarks.
# JOBS limits the parallel compile jobs.
set -euo pipefail
cd "$(dirname "$0")/.."
source utils/lib.sh

install_packages >&2
build build-release -DCMAKE_BUILD_TYPE=Release >&2

# run NAME: runs one benchmark and prints its figures.
run() {
  build-release/bin/bench_"$1" build-release/bin
}

benchmarks=$(ls build-release/bin | sed -n 's/^bench_//p')
if [ $# -eq 0 ]; then
  for name in $benchmarks; do run "$name"; done
  exit
fi
for requested in "$@"; do
  if grep -qx "$requested" <<<"$benchmarks"; then
    run "$requested"
  else
    # Not a benchmark but a prefix of figure names: runs the first benchmark whose source contains the part before the
    # first number.
    prefix=$(sed 's/_[0-9].*//' <<<"$requested")
    source_file=$(grep -lF "$prefix" utils/bench/*_bench.cpp | head -1 || true)
    [ -n "$source_file" ] || { echo "unknown benchmark or figure name: $requested" >&2; exit 2; }
    run "$(basename "$source_file" _bench.cpp)" | grep "^$requested"
  fi
done
