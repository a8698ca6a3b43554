#!/usr/bin/env bash
# Builds Release and prints one figure a line: name value unit. Arguments are names of benchmarks (fleet,
# membership, ...) or beginnings of figure names; without arguments all run.
set -euo pipefail
cd "$(dirname "$0")/.."
source utils/lib.sh

install_packages >&2
build build-release -DCMAKE_BUILD_TYPE=Release >&2

run() { # run NAME: the figures of one benchmark
  build-release/bin/bench_"$1" build-release/bin
}

benchmarks=$(ls build-release/bin | sed -n 's/^bench_//p')
if [ $# -eq 0 ]; then
  for name in $benchmarks; do run "$name"; done
  exit
fi
for wanted in "$@"; do
  if grep -qx "$wanted" <<<"$benchmarks"; then
    run "$wanted"
  else
    # A figure's name: run the benchmark whose source prints it.
    prefix=$(sed 's/_[0-9].*//' <<<"$wanted")
    source_file=$(grep -lF "$prefix" utils/bench/*_bench.cpp | head -1 || true)
    [ -n "$source_file" ] || { echo "unknown figure or benchmark: $wanted" >&2; exit 2; }
    run "$(basename "$source_file" _bench.cpp)" | grep "^$wanted"
  fi
done
