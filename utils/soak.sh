#!/usr/bin/env bash
# Runs the soak test with injected faults, once per seed. Requires a build in build/ (utils/test.sh). Stops at the first
# seed that fails, prints the end of its output and keeps it in build/soak-SEED.log.
#   utils/soak.sh [--seed FIRST] [--seeds COUNT] [--seconds EACH]    (default: 1, 1 and 20)
set -euo pipefail
cd "$(dirname "$0")/.."
seed=1
seeds=1
seconds=20
while [ $# -gt 0 ]; do
  case "$1" in
    --seed) seed=$2 ;;
    --seeds) seeds=$2 ;;
    --seconds) seconds=$2 ;;
    *) echo "unknown option: $1" >&2; exit 2 ;;
  esac
  shift 2
done
for ((i = seed; i < seed + seeds; ++i)); do
  log="build/soak-$i.log"
  if ! build/bin/siskinrack-soak --seed "$i" --seconds "$seconds" >"$log" 2>&1; then
    tail -20 "$log"
    echo "seed $i failed; output in $log"
    exit 1
  fi
  tail -1 "$log"
done
