#!/usr/bin/env bash
# Fails if code outside platform/ (and the stand-ins of the platform in test/ and unittests/) spells a name of the
# users' platform: the adapter alone knows them.
set -euo pipefail
cd "$(dirname "$0")/.."
names='Server-Stamp|Expect-Instance|Not-Run|Deadline-Ms|Instance-Id|coldLeftS|heartbeatAddr|api/instances|api/objects'
names+='|api/readyz|targetLatencyS|pathPrefix|currentRev|staleOk|waitMs|configApplyS|heartbeatS|appAddr|SISKINRACK_SETTINGS'
if git grep -nE "$names" -- include lib tools utils/bench; then
  echo "names of the users' platform outside platform/" >&2
  exit 1
fi
