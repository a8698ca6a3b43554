#!/usr/bin/env bash
# Tests the commands that query nodes, with four nodes in three failure domains whose clocks differ by up to 12 s:
# status, upstreams, metrics, a timeline in causal order, and the push of a version to different failure domains.
source "$(dirname "$0")/common.sh"
start_platform
write_intent "$work/one.yaml" counter
write_intent "$work/two.yaml" counter dockyard
start "$work/upstream.log" "$bin/upstream_stand_in" --name counter-1
upstream=127.0.0.1:$(wait_for_field "$work/upstream.log" port)
start_node 1 domain-a --clock-skew-ms 6000 --upstream-address "$upstream" --service counter
start_node 2 domain-a --clock-skew-ms -6000 --seeds "$peer_1"
start_node 3 domain-b --seeds "$peer_1" --log-level debug
# Doesn't use start_node, which waits for an event of level info.
start "$work/node-4.log" "$bin/siskinrack-node" --node-id node-4 --failure-domain domain-c --drain-ms 0 \
  --clock-skew-ms 3000 --seeds "$peer_1" --log-level warn
export SISKINRACK_NODES=$admin_1

lists_members() { [ "$(curl -s "http://$admin_1/upstreams" | grep -o '"admin_address"' | wc -l)" -eq "$1" ]; }
check "node 1 lists all four nodes" wait_until 20 lists_members 4
check "node 1 lists a serving upstream" wait_until 20 grep -q serving <(curl -s "http://$admin_1/upstreams")
expect "upstreams" 0 'node-1 +counter +serving +alive' "$bin/siskinctl" upstreams
expect "upstreams as JSON" 0 '"seen_by"' "$bin/siskinctl" upstreams --output json
expect "plan names the failure domains" 0 'failure domains: domain-a, domain-b, domain-c' \
  "$bin/siskinctl" apply "$work/one.yaml"
expect "confirm" 0 'version 1 is accepted' "$bin/siskinctl" confirm "$(plan_id)"
# Guards against the loss of an accepted version: if the platform fails right after accepting it, nodes of more than
# one failure domain must already have it.
for domain in a b c; do
  check "the version is pushed to domain-$domain" grep -q "pushed to node-. (domain-$domain)" "$work/out"
done
all_at_version() { [ "$("$bin/siskinctl" status | awk -v v="$1" 'NR > 1 && $3 == v && $4 == 0' | wc -l)" -eq 4 ]; }
check "all nodes serve version 1" wait_until 20 all_at_version 1
expect "status as JSON" 0 '"head_version":1,' "$bin/siskinctl" status --output json

# Guards against a rejected version that status doesn't report.
curl -s -X PUT -d '{"version":7}' "http://$admin_3/config" >/dev/null
expect "rejected version" 0 'node-3 .*plan_id: is missing' "$bin/siskinctl" status
set_faults '{"down":true}'
expect "status without the platform" 1 'the lag is unknown' "$bin/siskinctl" status --timeout-ms 300
set_faults '{}'

for _ in 1 2 3; do curl -s -H 'x-request-id: r-7' "http://$caller_1/counter/1" >/dev/null; done
curl -s -H $'x-siskinrack-rank: no-such' "http://$caller_1/counter/1" >/dev/null
curl -s "http://$caller_1/none" >/dev/null
expect "liveness" 0 ok curl -s "http://$admin_1/healthz"
expect "readiness" 0 ready curl -s "http://$admin_1/readyz"
curl -s "http://$admin_1/metrics" >"$work/metrics"
for line in 'siskinrack_requests_total{outcome="answered",rank="normal"} 3' \
  'siskinrack_requests_total{outcome="not-run",rank="unknown"} 1' \
  'siskinrack_requests_total{outcome="not-run",rank="none"} 1' \
  'siskinrack_request_seconds_count{outcome="answered",rank="normal"} 3' \
  'siskinrack_config_version 1' 'siskinrack_members{health="alive"} 4' \
  'siskinrack_platform_calls_total{class="read"} [0-9]' \
  'siskinrack_control_bytes_total{direction="sent"} [1-9]' \
  'siskinrack_control_bytes_total{direction="received"} [1-9]' \
  'process_cpu_seconds_total 0\.[0-9]' 'process_resident_memory_bytes [0-9.]*e*+*[0-9]'; do
  check "metrics: $line" grep -q "^$line" "$work/metrics"
done
# Any node of a domain may run the watch, and the first lease is granted after some seconds.
platform_is_watched() {
  for admin in "$admin_1" "$admin_2" "$admin_3"; do curl -s "http://$admin/metrics"; done >"$work/all_metrics"
  grep -q '^siskinrack_platform_calls_total{class="watch"} [1-9]' "$work/all_metrics"
}
check "metrics: a node watches the platform" wait_until 15 platform_is_watched
check "metrics: every line is a comment or a sample" bash -c \
  "! grep -Ev '^(# (HELP|TYPE) .+|[a-z_]+(\{[^}]*\})? [0-9.e+-]+)\$' '$work/metrics'"

# Guards against a timeline with an effect before its cause when clocks differ by 12 s. A node can only report a member
# alive after that member has logged its ports. The check doesn't use activations as causes, because a node forwards a
# version while it is still waiting for its own witnesses.
expect "second plan" 0 '^plan' "$bin/siskinctl" apply "$work/two.yaml"
expect "confirm the second plan" 0 'version 2 is accepted' env SISKINRACK_NODES= "$bin/siskinctl" confirm "$(plan_id)" --nodes "$admin_2"
check "all nodes serve version 2" wait_until 20 all_at_version 2
expect "timeline" 0 'event=config_active' "$bin/siskinctl" timeline
cp "$work/out" "$work/timeline"
awk '{
  event = process = member = ""
  for (i = 1; i <= NF; ++i) {
    split($i, pair, "=")
    if (pair[1] == "event") event = pair[2]
    if (pair[1] == "process") process = pair[2]
    if (pair[1] == "member") member = pair[2]
  }
  if (event == "listening") listening[process] = 1
  # node-4 logs no events of level info, so its start is not in the timeline.
  if (event == "member_alive" && member != "node-4") {
    ++checked
    if (!(member in listening)) print "effect before cause: " $0
  }
} END { print checked + 0 " effects checked" }' "$work/timeline" >"$work/order"
check "no effect sorts before its cause: $(tail -1 "$work/order")" bash -c "! grep -q 'effect before' '$work/order'"
check "enough effects were checked" test "$(tail -1 "$work/order" | cut -d' ' -f1)" -ge 4
check "every event is one line" bash -c "! grep -Ev '^hlc=[0-9]+\.[0-9]+ process=[^ ]+ level=(debug|info|warn|error) event=[^ ]+( [a-z0-9_]+=(\"[^\"]*\"|[^ \"]*))*\$' '$work/timeline'"
check "log level warn writes no info" bash -c "! grep -q level=info '$work/node-4.log'"
expect "timeline of one node" 0 'process=node-2' "$bin/siskinctl" timeline --node node-2
check "timeline of one node: no other" bash -c "! grep -q process=node-1 '$work/out'"
expect "timeline of one version" 0 'version=2' "$bin/siskinctl" timeline --version 2
check "timeline of one version: no other" bash -c "! grep -q version=1 '$work/out'"
expect "timeline of the last hours" 0 'config_active' "$bin/siskinctl" timeline --since 2h
expect "timeline as JSON" 0 '"event":"config_active"' "$bin/siskinctl" timeline --output json
expect "timeline of no request" 0 '"events":\[\]' "$bin/siskinctl" timeline --request no-such-request --output json

expect "quarantine list" 0 'FINGERPRINT' "$bin/siskinctl" quarantine list
expect "quarantine list as JSON" 0 '"entries":\[\]' "$bin/siskinctl" quarantine list --output json
expect "release is idempotent: the request is not quarantined" 0 'released 0123456789abcdef' \
  "$bin/siskinctl" quarantine release 0123456789abcdef

# Guards against one wrong clock that advances the clocks of all other nodes: node 5 is 10 minutes ahead. Node 1, whose
# own clock is 6 s ahead, accepts times of up to 60 s ahead of it.
start_node 5 domain-b --clock-skew-ms 600000 --seeds "$peer_1"
check "node 1 refuses the time of node 5" wait_until 20 grep -q event=clock_time_refused "$work/node-1.log"
now_us=$(date +%s%6N)
ahead_us=$(($(sed -n 's/^hlc=\([0-9]*\).*/\1/p' "$work/node-1.log" | tail -1) - now_us))
check "node 1 is at most 66 s ahead ($ahead_us us)" test "$ahead_us" -le 66000000

# If a node doesn't respond, the result is incomplete: the exit code is 1, and the data of the other nodes is printed.
expect "an unreachable node" 1 'node-1' "$bin/siskinctl" status --nodes "$admin_1,127.0.0.1:9"
expect "only unreachable nodes" 1 'no node responded with a valid list of upstreams' "$bin/siskinctl" upstreams --nodes 127.0.0.1:9
finish
