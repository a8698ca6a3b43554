#!/usr/bin/env bash
# Tests plans of several operators on one platform: repeated, stale, altered and confirmed concurrently.
source "$(dirname "$0")/common.sh"
start_platform
write_intent "$work/one.yaml" counter
write_intent "$work/two.yaml" counter dockyard
write_intent "$work/three.yaml" counter loom

expect "first apply" 0 '^plan [0-9a-f]{16}: version 0 -> 1' "$bin/siskinctl" apply "$work/one.yaml"
first=$(plan_id)
expect "apply is repeatable" 0 "^plan $first:" "$bin/siskinctl" apply "$work/one.yaml"
expect "nothing is in force before confirm" 0 '"objects":\[\]' curl -s "http://$platform/objects?prefix=config/"
expect "confirm" 0 'version 1 is accepted' "$bin/siskinctl" confirm "$first"
expect "confirm is idempotent" 0 'version 1 was accepted' "$bin/siskinctl" confirm "$first"
expect "the same intent again" 0 'nothing to change' "$bin/siskinctl" apply "$work/one.yaml"

# Guards against a conflict report that lists the refused plan's own changes as changes by others.
expect "second plan" 0 'add service dockyard' "$bin/siskinctl" apply "$work/two.yaml"
second=$(plan_id)
expect "third plan on the same base" 0 'add service loom' "$bin/siskinctl" apply "$work/three.yaml"
third=$(plan_id)
expect "third plan is accepted" 0 'version 2 is accepted' "$bin/siskinctl" confirm "$third"
expect "second plan is refused as stale" 3 'add service loom' "$bin/siskinctl" confirm "$second"
check "a conflict doesn't name the plan's own changes" bash -c "! grep -q dockyard '$work/err'"
expect "the stale plan did not change the head" 0 "plan_id.*$third" curl -s "http://$platform/objects/config/head"

# Guards against reporting a conflict for a plan that was accepted and has since been replaced.
expect "first plan was accepted before" 0 'version 1 was accepted.*version 2' "$bin/siskinctl" confirm "$first"

# Guards against activating content that nobody reviewed: the stored plan is altered after apply.
expect "plan to alter" 0 'add service dockyard' "$bin/siskinctl" apply "$work/two.yaml"
altered=$(plan_id)
curl -s -D "$work/headers" "http://$platform/objects/plan/$altered" | sed 's/"slots":6/"slots":7/g' >"$work/plan.json"
tag=$(sed -n 's/^ETag: \(.*\)\r$/\1/Ip' "$work/headers")
curl -s -X PUT -H "If-Match: $tag" --data-binary "@$work/plan.json" "http://$platform/objects/plan/$altered" >/dev/null
before=$(list_objects)
expect "altered plan is refused" 2 'altered' "$bin/siskinctl" confirm "$altered"
expect "apply refuses an altered plan" 2 'altered' "$bin/siskinctl" apply "$work/two.yaml"
check "an altered plan changes nothing" test "$before" = "$(list_objects)"

# Guards against lost updates: of two operators who confirm concurrently, exactly one succeeds and the other gets a
# conflict.
for round in 1 2 3 4 5; do
  write_intent "$work/a.yaml" counter "left-$round"
  write_intent "$work/b.yaml" counter "right-$round"
  expect "plan of operator a" 0 '^plan' "$bin/siskinctl" apply "$work/a.yaml"
  a=$(plan_id)
  expect "plan of operator b" 0 '^plan' "$bin/siskinctl" apply "$work/b.yaml"
  b=$(plan_id)
  "$bin/siskinctl" confirm "$a" >"$work/a.out" 2>&1 &
  operator_a=$!
  "$bin/siskinctl" confirm "$b" >"$work/b.out" 2>&1 &
  operator_b=$!
  wait "$operator_a"
  code_a=$?
  wait "$operator_b"
  code_b=$?
  check "race $round: one is accepted ($code_a, $code_b)" test $((code_a + code_b)) -eq 3 -a $((code_a * code_b)) -eq 0
done
finish
