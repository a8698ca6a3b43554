# Functions for the command-line tests, which run the real binaries. Sourced, not run; the first argument of the test
# is the folder of the binaries.
set -uo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
source "$root/utils/lib.sh"
bin=${1:?folder of the binaries}
work=$(mktemp -d)
trap 'stop_started; rm -rf "$work"' EXIT
passed=0
failed=0

# record NAME RESULT: counts a check; any RESULT but "ok" is a failure and is printed.
record() {
  if [ "$2" = ok ]; then
    passed=$((passed + 1))
  else
    failed=$((failed + 1))
    echo "FAILED: $1: $2"
  fi
}

# expect NAME CODE PATTERN COMMAND...: runs the command and checks that it exits with CODE and that its output or
# errors match PATTERN. The output is kept in $work/out and $work/err.
expect() {
  local name=$1 code=$2 pattern=$3 got
  shift 3
  timeout 5 "$@" >"$work/out" 2>"$work/err" </dev/null
  got=$?
  if [ "$got" -ne "$code" ]; then
    record "$name" "exit code $got, expected $code: $(head -c 400 "$work/out" "$work/err")"
  elif ! grep -Eq -- "$pattern" <(cat "$work/out" "$work/err"); then
    record "$name" "no '$pattern' in: $(head -c 400 "$work/out" "$work/err")"
  else
    record "$name" ok
  fi
}

# check NAME COMMAND...: checks that the command succeeds.
check() {
  local name=$1
  shift
  if "$@" >"$work/check" 2>&1; then record "$name" ok; else record "$name" "$* : $(head -c 400 "$work/check")"; fi
}

# start_platform: starts the platform stand-in and sets platform to its address.
start_platform() {
  start "$work/platform.log" "$bin/platform_stand_in"
  platform=127.0.0.1:$(wait_for_field "$work/platform.log" port) || exit 1
  export SISKINRACK_PLATFORM_ADDRESS=$platform
}

list_objects() { curl -s "http://$platform/objects?prefix="; }
# set_faults JSON: injects faults into the platform stand-in.
set_faults() { curl -s -X PUT -d "$1" "http://$platform/control/faults" >/dev/null; }

# start_node INDEX DOMAIN [SETTING...]: starts a node; sets admin_INDEX, peer_INDEX and caller_INDEX to its addresses.
start_node() {
  local index=$1 domain=$2 log=$work/node-$1.log
  shift 2
  start "$log" "$bin/siskinrack-node" --node-id "node-$index" --failure-domain "$domain" --drain-ms 0 "$@"
  declare -g "admin_$index=127.0.0.1:$(wait_for_field "$log" admin_port)"
  declare -g "peer_$index=127.0.0.1:$(wait_for_field "$log" peer_port)"
  declare -g "caller_$index=127.0.0.1:$(wait_for_field "$log" caller_port)"
}

# wait_until SECONDS COMMAND...: repeats the command until it succeeds; fails after SECONDS.
wait_until() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ $SECONDS -ge $end ] && return 1
    sleep 0.1
  done
}

# write_intent FILE SERVICE...: writes an intent with one route for each service.
write_intent() {
  local file=$1 name
  shift
  {
    echo "services:"
    for name in "$@"; do echo "  - {name: $name, slots: 6}"; done
    echo "ranks: [{name: normal, target_ms: 1000, worth: 20}]"
    echo "routes:"
    for name in "$@"; do echo "  - {name: $name, prefix: /$name, service: $name, rank: normal}"; done
  } >"$file"
}

# Prints the id of the plan that the last expect printed.
plan_id() { sed -n 's/^plan \([0-9a-f]*\):.*/\1/p' "$work/out"; }

# finish: prints the totals; fails if a check failed or none ran.
finish() {
  echo "$passed passed, $failed failed"
  [ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
}
