#!/usr/bin/env bash
# Regenerates the committed FlatBuffers header. Requires the package flatbuffers-compiler, which utils/test.sh does not
# install.
set -euo pipefail
cd "$(dirname "$0")/.."
flatc --cpp --gen-object-api --object-suffix _t --scoped-enums --filename-suffix _generated \
  -o include/siskinrack/wire lib/wire/siskinrack.fbs
