#!/usr/bin/env bash
# Fails if include/, lib/, tools/ or utils/bench/ contains a name that belongs to the users' platform. Only the adapter
# in platform/ and the stand-ins of the platform in test/ and unittests/ may use these names.
set -euo pipefail
cd "$(dirname "$0")/.."
names='Server-Stamp|Expect-Instance|Not-Run|Deadline-Ms|Instance-Id|coldLeftS|heartbeatAddr|api/instances|api/objects'
names+='|api/readyz|targetLatencyS|pathPrefix|currentRev|staleOk|waitMs|configApplyS|heartbeatS|appAddr|SISKINRACK_SETTINGS'
if git grep -nE "$names" -- include lib tools utils/bench; then
  echo "error: names of the users' platform are allowed only in platform/" >&2
  exit 1
fi
