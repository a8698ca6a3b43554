#!/usr/bin/env bash
# Installs missing packages, builds, checks format and lint, and runs all tests. Works on a fresh machine and on an
# existing checkout.
#   utils/test.sh                  lints all files
#   LINT_SINCE=REV utils/test.sh   lints only the .cpp files changed since REV (for local use; CI lints all files)
# JOBS limits the parallel compile, lint and test jobs.
set -euo pipefail
cd "$(dirname "$0")/.."
source utils/lib.sh

install_packages

echo "== format"
git ls-files '*.cpp' '*.h' | grep -v _generated | tr '\n' '\0' | xargs -0 clang-format --dry-run --Werror

echo "== names of the users' platform"
utils/check_names.sh

echo "== build"
build build

echo "== lint"
files=$(git ls-files '*.cpp')
if [ -n "${LINT_SINCE:-}" ]; then files=$(git diff --name-only --diff-filter=d "$LINT_SINCE" -- '*.cpp'); fi
echo "$files" | tr '\n' '\0' | xargs -0 -r -n 1 -P "${JOBS:-$(nproc)}" utils/lint.sh build

echo "== tests"
utils/run_tests.sh build

# Covers only packages of lib/ whose tests do not switch fiber stacks: the thread sanitizer does not support fibers, and
# an instrumented build of all targets takes minutes.
echo "== sanitizers"
cmake -S . -B build/sanitize -G Ninja -DSISKINRACK_SANITIZE=ON >/dev/null
ninja -C build/sanitize ${JOBS:+-j "$JOBS"} support_unittests config_unittests wire_unittests net_reading_unittests >/dev/null
cmake -S . -B build/tsan -G Ninja -DSISKINRACK_TSAN=ON >/dev/null
ninja -C build/tsan ${JOBS:+-j "$JOBS"} support_unittests net_reading_unittests >/dev/null
for binary in build/sanitize/bin/{support,config,wire,net_reading}_unittests build/tsan/bin/{support,net_reading}_unittests; do
  "$binary" --gtest_brief=1
done
