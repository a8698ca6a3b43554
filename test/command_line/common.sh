# Shared by the command-line tests, which run the real binaries. Sourced, not run; the first argument
# is the folder of the binaries.
set -uo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
source "$root/utils/lib.sh"
bin=${1:?folder of the binaries}
work=$(mktemp -d)
trap 'stop_started; rm -rf "$work"' EXIT
passed=0
failed=0

report() {
  if [ "$2" = ok ]; then
    passed=$((passed + 1))
  else
    failed=$((failed + 1))
    echo "FAILED: $1: $2"
  fi
}

# expect NAME CODE PATTERN COMMAND...: runs the command; checks exit code and that its output has PATTERN.
expect() {
  local name=$1 code=$2 pattern=$3 got
  shift 3
  timeout 5 "$@" >"$work/out" 2>"$work/err" </dev/null
  got=$?
  if [ "$got" -ne "$code" ]; then
    report "$name" "exit code $got, expected $code: $(head -c 400 "$work/out" "$work/err")"
  elif ! cat "$work/out" "$work/err" | grep -Eq -- "$pattern"; then
    report "$name" "no '$pattern' in: $(head -c 400 "$work/out" "$work/err")"
  else
    report "$name" ok
  fi
}

# check NAME COMMAND...: the command must succeed.
check() {
  local name=$1
  shift
  if "$@" >"$work/check" 2>&1; then report "$name" ok; else report "$name" "$* : $(head -c 400 "$work/check")"; fi
}

start_platform() {
  start "$work/platform.log" "$bin/platform_stand_in"
  platform=127.0.0.1:$(wait_for_field "$work/platform.log" port) || exit 1
  export SISKINRACK_PLATFORM_ADDRESS=$platform
}

objects() { curl -s "http://$platform/objects?prefix="; }
faults() { curl -s -X PUT -d "$1" "http://$platform/control/faults" >/dev/null; }

# start_node INDEX DOMAIN [SETTING...]: sets admin_INDEX, peer_INDEX and caller_INDEX.
start_node() {
  local index=$1 domain=$2 log=$work/node-$1.log
  shift 2
  start "$log" "$bin/siskinrack-node" --node-id "node-$index" --failure-domain "$domain" --drain-ms 0 "$@"
  declare -g "admin_$index=127.0.0.1:$(wait_for_field "$log" admin_port)"
  declare -g "peer_$index=127.0.0.1:$(wait_for_field "$log" peer_port)"
  declare -g "caller_$index=127.0.0.1:$(wait_for_field "$log" caller_port)"
}

# wait_until SECONDS COMMAND...: repeats the command until it succeeds.
wait_until() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ $SECONDS -ge $end ] && return 1
    sleep 0.1
  done
}

# write_intent FILE SERVICE...: an intent with one route for each service.
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

plan_id() { sed -n 's/^plan \([0-9a-f]*\):.*/\1/p' "$work/out"; }

finish() {
  echo "$passed passed, $failed failed"
  [ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
}
