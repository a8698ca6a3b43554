#!/usr/bin/env bash
# End-to-end demo on one machine: starts a platform stand-in, upstreams and nodes in two failure domains, applies an
# intent, checks that it has no effect before its plan is confirmed, confirms it, sends requests of three ranks and
# prints the merged timeline. Exits with 0 only if every step succeeds.
set -euo pipefail
cd "$(dirname "$0")/.."
source utils/lib.sh

install_packages
build build
bin=build/bin
work=$(mktemp -d)
trap 'stop_started; rm -rf "$work"' EXIT

start "$work/platform.log" $bin/platform_stand_in
platform=127.0.0.1:$(wait_for_field "$work/platform.log" port)

admins=()
callers=()
seed=
index=0
for domain in domain-a domain-b; do
  for service in counter dockyard; do
    index=$((index + 1))
    start "$work/upstream-$index.log" $bin/upstream_stand_in --name "$service-$index"
    upstream=127.0.0.1:$(wait_for_field "$work/upstream-$index.log" port)
    start "$work/node-$index.log" $bin/siskinrack-node --node-id "node-$index" --failure-domain "$domain" \
      --platform-address "$platform" --upstream-address "$upstream" --service "$service" \
      --drain-ms 500 ${seed:+--seeds "$seed"}
    admins+=("127.0.0.1:$(wait_for_field "$work/node-$index.log" admin_port)")
    callers+=("127.0.0.1:$(wait_for_field "$work/node-$index.log" caller_port)")
    seed=${seed:-127.0.0.1:$(wait_for_field "$work/node-$index.log" peer_port)}
  done
done
join() { local IFS=,; echo "$*"; }
export SISKINRACK_PLATFORM_ADDRESS=$platform
SISKINRACK_NODES=$(join "${admins[@]}")
export SISKINRACK_NODES

echo "== each node lists all four upstreams"
for admin in "${admins[@]}"; do
  for _ in $(seq 200); do
    serving=$(curl -s "http://$admin/upstreams" | grep -o '"state":"serving"' | wc -l)
    [ "$serving" -eq 4 ] && break
    sleep 0.05
  done
  echo "$admin lists $serving serving upstreams, expected 4"
  [ "$serving" -eq 4 ]
done

echo "== plan of the intent"
$bin/siskinctl apply docs/examples/lensfold.yaml | tee "$work/plan"
plan=$(sed -n 's/^plan \([0-9a-f]*\):.*/\1/p' "$work/plan")

# Column 3 of the status is the version that a node serves.
echo "== status before the confirmation"
$bin/siskinctl status | tee "$work/status"
[ "$(awk 'NR > 1 && $3 == 0' "$work/status" | wc -l)" -eq 4 ]

echo "== confirmation"
confirmed_us=$(date +%s%6N)
$bin/siskinctl confirm "$plan"
for _ in $(seq 160); do
  $bin/siskinctl status >"$work/status"
  [ "$(awk 'NR > 1 && $3 == 1' "$work/status" | wc -l)" -eq 4 ] && break
  sleep 0.05
done
cat "$work/status"
[ "$(awk 'NR > 1 && $3 == 1' "$work/status" | wc -l)" -eq 4 ]

echo "== convergence"
for i in 1 2 3 4; do
  active_us=$(sed -n 's/^hlc=\([0-9]*\).*event=config_active version=1 .*/\1/p' "$work/node-$i.log" | head -1)
  echo "node-$i convergence_ms=$(((active_us - confirmed_us) / 1000))"
done

echo "== requests"
$bin/caller --addresses "$(join "${callers[@]}")" --requests 240 --targets /tray,/reorder,/pick,/report \
  --ranks urgent,normal,background

echo "== timeline"
$bin/siskinctl timeline
echo "demo passed"
