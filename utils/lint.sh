#!/usr/bin/env bash
# lint.sh BUILD_DIR FILE: runs clang-tidy on one file. Caches a clean result in the build folder under a digest of
# .clang-tidy, the file and its preprocessed form, so that an unchanged file is not linted twice.
set -euo pipefail
build_dir=$1
file=$2
command=$(python3 - "$build_dir" "$file" <<'PY'
import json, os, shlex, sys
build, name = sys.argv[1], os.path.abspath(sys.argv[2])
for entry in json.load(open(os.path.join(build, "compile_commands.json"))):
    if os.path.abspath(os.path.join(entry["directory"], entry["file"])) == name:
        words = shlex.split(entry["command"])
        words = words[1:] if "ccache" in words[0] else words
        out = words.index("-o")
        del words[out:out + 2]
        print(shlex.join(words + ["-E", "-P"]))
        break
PY
)
if [ -z "$command" ]; then
  echo "$file: not in compile_commands.json" >&2
  exit 1
fi
mkdir -p "$build_dir/lint"
digest=$({ cat .clang-tidy "$file"; eval "$command" 2>/dev/null; } | sha256sum | cut -d' ' -f1)
[ -e "$build_dir/lint/$digest" ] && exit 0
clang-tidy -p "$build_dir" --quiet --extra-arg=-Wno-unknown-warning-option "$file" 2>/dev/null || {
  echo "lint failed: $file" >&2
  exit 1
}
touch "$build_dir/lint/$digest"
