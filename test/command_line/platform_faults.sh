#!/usr/bin/env bash
# Tests siskinctl against a platform that loses responses, is down or slow, or limits the rate.
source "$(dirname "$0")/common.sh"
start_platform
write_intent "$work/one.yaml" counter
write_intent "$work/two.yaml" counter dockyard

# Guards against a duplicate version or a false failure when the response to a write is lost.
set_faults '{"lose_write_answers":1}'
expect "apply with a lost answer" 0 '^plan' "$bin/siskinctl" apply "$work/one.yaml"
plan=$(plan_id)
set_faults '{"lose_write_answers":1}'
expect "confirm with a lost answer" 0 'version 1 is accepted' "$bin/siskinctl" confirm "$plan"
expect "confirm after the lost answer" 0 'version 1 was accepted' "$bin/siskinctl" confirm "$plan"
expect "one version was written" 0 '"version":1,' curl -s "http://$platform/objects/config/head"

# Guards against reporting a write that took effect as failed: its response is lost and all later reads fail.
expect "plan whose confirmation loses its answer" 0 '^plan' "$bin/siskinctl" apply "$work/two.yaml"
plan=$(plan_id)
set_faults '{"lose_write_answers":1}'
"$bin/siskinctl" confirm "$plan" --timeout-ms 4000 >"$work/unknown" 2>&1 &
operator=$!
sleep 0.7
set_faults '{"down":true}'
wait "$operator"
code=$?
check "lost answer and platform down: outcome unknown ($code)" test "$code" -eq 4
set_faults '{}'
expect "a later confirm gives the result" 0 'version 2 was accepted' "$bin/siskinctl" confirm "$plan"

before=$(list_objects)
set_faults '{"down":true}'
for command in "apply $work/one.yaml" "diff $work/one.yaml" "confirm $plan" plans; do
  expect "platform down: $command" 2 'unavailable' "$bin/siskinctl" $command --timeout-ms 500
done
expect "platform down: validate works offline" 0 'valid' "$bin/siskinctl" validate "$work/one.yaml"
set_faults '{"frozen":true}'
expect "frozen platform" 2 'unavailable' "$bin/siskinctl" plans --timeout-ms 700
set_faults '{"retry_after_s":30}'
expect "rate limit beyond the time-out" 2 'rate.limited' "$bin/siskinctl" plans --timeout-ms 1000
set_faults '{}'
check "nothing changed while the platform failed" test "$before" = "$(list_objects)"

set_faults '{"delay_ms":400}'
expect "slow platform" 0 'nothing to change|^plan' "$bin/siskinctl" apply "$work/two.yaml"
set_faults '{"retry_after_s":1}'
(sleep 0.5; set_faults '{}') &
expect "rate limit within the time-out" 0 "$plan" "$bin/siskinctl" plans
wait $!
finish
