#!/usr/bin/env bash
# Tests invalid input for every command and setting of siskinctl and siskinrack-node: the exit code is 2, the error
# names the place, and nothing changes on the platform.
source "$(dirname "$0")/common.sh"
start_platform
write_intent "$work/good.yaml" counter
expect "a plan" 0 '^plan' "$bin/siskinctl" apply "$work/good.yaml"
plan=$(plan_id)
before=$(list_objects)

# expect_refused NAME PATTERN COMMAND...: checks that the command exits with 2, prints an
# error that matches PATTERN and prints no result.
expect_refused() {
  local name=$1 pattern=$2
  shift 2
  expect "$name" 2 "$pattern" "$@"
  check "$name: no result on standard output" test ! -s "$work/out"
}
# ctl_refuses NAME PATTERN ARGUMENT...: checks that siskinctl refuses the arguments.
ctl_refuses() {
  local name=$1 pattern=$2
  shift 2
  expect_refused "siskinctl: $name" "$pattern" "$bin/siskinctl" "$@"
}

ctl_refuses "no command" 'command: is missing'
ctl_refuses "unknown command" "did you mean 'confirm'" confrim "$plan"
ctl_refuses "incomplete command" "did you mean 'quarantine (list|release)'" quarantine
ctl_refuses "unknown second word" "did you mean 'quarantine list'" quarantine lst
ctl_refuses "completion for another shell" "did you mean 'completion bash'" completion bsh
for command in validate apply diff; do
  ctl_refuses "$command without a file" 'FILE is missing' $command
  ctl_refuses "$command with two files" 'unexpected argument' $command "$work/good.yaml" more
  ctl_refuses "$command of a missing file" "can't be read" $command "$work/none.yaml"
  ctl_refuses "$command of a folder" "can't be read" $command "$work"
done
ctl_refuses "confirm without a plan" 'PLAN is missing' confirm
ctl_refuses "confirm of an invalid plan id" 'is not a plan id' confirm newest
ctl_refuses "confirm of a path" 'is not a plan id' confirm ../config/head
ctl_refuses "confirm of an unknown plan" 'no such plan' confirm 0123456789abcdef
ctl_refuses "plans with an argument" 'unexpected argument' plans all
ctl_refuses "status with an argument" 'unexpected argument' status node-1 --nodes 127.0.0.1:1
ctl_refuses "status without nodes" 'set --nodes' status
ctl_refuses "upstreams without nodes" 'set --nodes' upstreams
ctl_refuses "upstreams with an argument" 'unexpected argument' upstreams counter
ctl_refuses "timeline without nodes" 'set --nodes' timeline
ctl_refuses "timeline with an argument" 'unexpected argument' timeline all
ctl_refuses "quarantine list without nodes" 'set --nodes' quarantine list
ctl_refuses "quarantine list with an argument" 'unexpected argument' quarantine list 7
ctl_refuses "release without a fingerprint" 'FINGERPRINT is missing' quarantine release
ctl_refuses "release of a path" 'is not a fingerprint' quarantine release ../config --nodes 127.0.0.1:1
ctl_refuses "completion with an argument" 'unexpected argument' completion bash now
ctl_refuses "unknown setting" 'did you mean --nodes' status --node 127.0.0.1:1
ctl_refuses "setting of another command" 'unknown setting' validate "$work/good.yaml" --since 5m
ctl_refuses "setting without a value" '--nodes: needs a value' status --nodes
ctl_refuses "setting given twice" 'given more than once' plans --timeout-ms 500 --timeout-ms=600
ctl_refuses "node address without a port" 'is not an IPv4 address and port' status --nodes 127.0.0.1
ctl_refuses "node address with port 0" 'has port 0' status --nodes 127.0.0.1:0
ctl_refuses "empty entry in the nodes" 'is not an IPv4 address and port' status --nodes 127.0.0.1:1,
ctl_refuses "platform by host name" 'is not an IPv4 address and port' plans --platform-address platform:80
ctl_refuses "empty platform address" '--platform-address: needs a value' plans --platform-address=
ctl_refuses "platform port over 65535" 'is not an IPv4 address and port' plans --platform-address 127.0.0.1:70000
ctl_refuses "time-out below the range" '100 to 600000 ms' plans --timeout-ms 99
ctl_refuses "time-out that is no number" 'is not an integer' plans --timeout-ms 1s
ctl_refuses "unknown output" 'text, json' plans --output yaml
ctl_refuses "output in another case" 'text, json' plans --output JSON
ctl_refuses "negative version" 'is out of range' timeline --nodes 127.0.0.1:1 --version -1
ctl_refuses "version that is no number" 'is not an integer' timeline --nodes 127.0.0.1:1 --version latest
ctl_refuses "node name with a space" 'is not a valid name' timeline --nodes 127.0.0.1:1 --node 'node 1'
ctl_refuses "since without a unit" 'is not a duration' timeline --nodes 127.0.0.1:1 --since 5
ctl_refuses "negative since" 'is not a duration' timeline --nodes 127.0.0.1:1 --since -5m
ctl_refuses "since above the range" 'is not a duration' timeline --nodes 127.0.0.1:1 --since 99999999h
expect_refused "siskinctl: unknown environment variable" 'did you mean SISKINRACK_NODES' \
  env SISKINRACK_NODESS=127.0.0.1:1 "$bin/siskinctl" plans
expect_refused "siskinctl: bad value in the environment" 'SISKINRACK_TIMEOUT_MS: .* is out of range' \
  env SISKINRACK_TIMEOUT_MS=1 "$bin/siskinctl" plans
ctl_refuses "findings as JSON" '"findings":\[\{"place":"--timeout-ms"' plans --output json --timeout-ms 1
ctl_refuses "all findings together" '--timeout-ms' plans --outptu text --timeout-ms 1
check "all findings together: the second finding" grep -q 'did you mean --output' "$work/err"

# intent_refused NAME PATTERN YAML: checks that apply and validate refuse the intent.
intent_refused() {
  local name=$1 pattern=$2
  printf '%s\n' "$3" >"$work/bad.yaml"
  ctl_refuses "intent: $name" "$pattern" apply "$work/bad.yaml"
  ctl_refuses "intent, offline: $name" "$pattern" validate "$work/bad.yaml"
}
intent_refused "broken YAML" 'bad.yaml:[0-9]+:[0-9]+' 'services: [{name: counter'
intent_refused "a list" 'is not a map' '- services'
intent_refused "unknown section" "did you mean 'services'" 'service: []'
intent_refused "unknown field" "did you mean 'slots'" 'services: [{name: counter, slot: 6}]'
intent_refused "no name" 'name: is missing' 'services: [{slots: 6}]'
intent_refused "slots out of range" '1 to 1024' 'services: [{name: counter, slots: 0}]'
intent_refused "route to no service" "service 'counter' does not exist" \
  'routes: [{name: a, prefix: /a, service: counter, rank: normal}]'
intent_refused "two errors" "rank 'normal' does not exist" \
  'routes: [{name: a, prefix: a, service: counter, rank: normal}]'
check "intent: both errors are reported" grep -q 'is not a path prefix' "$work/err"

# node_refuses NAME PATTERN SETTING...: checks that siskinrack-node refuses the settings.
node_refuses() {
  local name=$1 pattern=$2
  shift 2
  expect_refused "siskinrack-node: $name" "$pattern" "$bin/siskinrack-node" --node-id n --failure-domain d "$@"
}
expect_refused "siskinrack-node: nothing given" '--failure-domain: required' "$bin/siskinrack-node"
check "siskinrack-node: nothing given: the second finding" grep -q -- '--node-id: required' "$work/err"
expect_refused "siskinrack-node: node id with a space" "--node-id: 'node 1' is not a valid name" \
  "$bin/siskinrack-node" --node-id 'node 1' --failure-domain d
expect_refused "siskinrack-node: empty node id" "--node-id: needs a value" \
  "$bin/siskinrack-node" --node-id= --failure-domain d
expect_refused "siskinrack-node: node id of 64 bytes" 'is not a valid name' \
  "$bin/siskinrack-node" --node-id "$(printf 'n%.0s' $(seq 64))" --failure-domain d
expect_refused "siskinrack-node: failure domain with a slash" '--failure-domain: .* is not a valid name' \
  "$bin/siskinrack-node" --node-id n --failure-domain a/b
node_refuses "region with a line break" '--region: .* is not a valid name' --region $'a\nb'
node_refuses "unexpected positional argument" 'start: unexpected argument' start
node_refuses "unknown setting" 'did you mean --slots' --slot 5
for address in caller-address peer-address admin-address advertise-address platform-address; do
  node_refuses "$address by host name" "--$address: .* is not an IPv4 address and port" --$address localhost:80
  node_refuses "$address with a bad port" "--$address: .* is not an IPv4 address and port" --$address 127.0.0.1:99999
done
node_refuses "upstream without a port" '--upstream-address: .* is not an IPv4 address and port' \
  --service counter --upstream-address 127.0.0.1
node_refuses "advertised port 0" '--advertise-address: .* has port 0' --advertise-address 127.0.0.1:0
node_refuses "platform port 0" '--platform-address: .* has port 0' --platform-address 127.0.0.1:0
node_refuses "seed with port 0" '--seeds: .* has port 0' --seeds 127.0.0.1:9000,127.0.0.1:0
node_refuses "seed by host name" '--seeds: .* is not an IPv4 address and port' --seeds node-1:9000
node_refuses "service without an upstream" 'belong together' --service counter
node_refuses "upstream without a service" 'belong together' --upstream-address 127.0.0.1:9000
node_refuses "service that is no name" '--service: .* is not a valid name' --service 'a b' --upstream-address 127.0.0.1:9
node_refuses "zero slots" '1 to 1024' --slots 0
node_refuses "slots that are no number" 'is not an integer' --slots many
node_refuses "slots beyond 64 bits" 'is not an integer' --slots 99999999999999999999
node_refuses "zero threads" '1 to 64' --threads 0
node_refuses "drain time above the range" '0 to 60000 ms' --drain-ms 60001
node_refuses "negative drain time" '0 to 60000 ms' --drain-ms -1
node_refuses "clock skew above the range" '-600000 to 600000 ms' --clock-skew-ms 600001
node_refuses "source IP by host name" '--source-ip: .* is not an IPv4 address' --source-ip localhost
node_refuses "unknown log level" 'debug, info, warn, error' --log-level verbose
node_refuses "flag that is neither true nor false" 'is neither true nor false' --print-settings=maybe
node_refuses "setting without a value" '--slots: needs a value' --threads 2 --slots
node_refuses "setting given twice" 'given more than once' --slots 6 --slots 6
node_refuses "caller port in use" '--caller-address: .* in use' --caller-address "$platform"
node_refuses "admin port in use" '--admin-address: .* in use' --admin-address "$platform"
node_refuses "peer port in use" '--peer-address: .* in use' --peer-address "$platform"
node_refuses "address of another machine" '--caller-address: .*assign' --caller-address 192.0.2.1:80
expect_refused "siskinrack-node: unknown environment variable" 'did you mean SISKINRACK_SLOTS' \
  env SISKINRACK_SLOT=6 "$bin/siskinrack-node" --node-id n --failure-domain d
expect_refused "siskinrack-node: bad value in the environment" 'SISKINRACK_SLOTS: .* is out of range' \
  env SISKINRACK_SLOTS=0 "$bin/siskinrack-node" --node-id n --failure-domain d
expect_refused "siskinrack-node: bad environment under --help" 'SISKINRACK_SLOT: unknown' \
  env SISKINRACK_SLOT=6 "$bin/siskinrack-node" --node-id n --failure-domain d --help

check "bad input changed nothing on the platform" test "$before" = "$(list_objects)"

# A flag takes precedence over the environment, which takes precedence over the default; the origin is printed.
expect "origins of the node's settings" 0 'slots=7 \(flag\)' env SISKINRACK_SLOTS=8 SISKINRACK_THREADS=3 \
  "$bin/siskinrack-node" --node-id n --failure-domain d --slots 7 --print-settings
check "origin: environment" grep -q 'threads=3 (environment)' "$work/out"
check "origin: default and unit" grep -q 'drain-ms=3000 ms (default)' "$work/out"
expect "settings of siskinctl" 0 'timeout-ms=500 ms \(flag\)' "$bin/siskinctl" plans --timeout-ms 500 --print-settings
expect "siskinrack-node accepts the variables of siskinctl" 0 'slots=6' env SISKINRACK_NODES=127.0.0.1:1 \
  "$bin/siskinrack-node" --node-id n --failure-domain d --print-settings
"$bin/siskinrack-node" --node-id n --failure-domain d --print-settings | sed 's/=.*//' |
  grep -v print-settings | tr 'a-z-' 'A-Z_' >"$work/names"
while read -r name; do
  expect "siskinctl accepts SISKINRACK_$name" 0 valid env "SISKINRACK_$name=127.0.0.1:1" \
    "$bin/siskinctl" validate "$work/good.yaml"
done < <(grep -v -e '^HELP$' "$work/names")

# Every command has --help; the completion script is valid; commands print JSON with --output json.
for command in validate apply confirm diff plans status upstreams 'quarantine list' 'quarantine release' \
  timeline 'completion bash'; do
  expect "help of $command" 0 "usage: siskinctl $command" "$bin/siskinctl" $command --help
done
expect "help" 0 'exit codes: 0 done' "$bin/siskinctl" --help
expect "help of the node" 0 'SISKINRACK_DRAIN_MS' "$bin/siskinrack-node" --help
expect "completion script" 0 'complete -F _siskinctl siskinctl' "$bin/siskinctl" completion bash
check "completion script is valid bash" bash -n "$work/out"
complete_words() { # prints the completions of the last word
  bash -c "source '$work/out'; COMP_WORDS=($1); COMP_CWORD=\$((\${#COMP_WORDS[@]} - 1)); _siskinctl; echo \"\${COMPREPLY[@]}\""
}
check "completion of a command" test "$(complete_words 'siskinctl conf')" = confirm
check "completion of a setting" test "$(complete_words 'siskinctl timeline --si')" = --since
expect "JSON of validate" 0 '"valid":true' "$bin/siskinctl" validate "$work/good.yaml" --output json
expect "JSON of diff" 0 '"stored":false' "$bin/siskinctl" diff "$work/good.yaml" --output json
expect "JSON of plans" 0 '"state":"open"' "$bin/siskinctl" plans --output=json
finish
