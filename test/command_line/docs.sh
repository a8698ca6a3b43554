#!/usr/bin/env bash
# Guards against operator documentation that doesn't work: runs the blocks marked "sh" of docs/operators/README.md as
# written, in one shell, against two nodes.
source "$(dirname "$0")/common.sh"
start_platform
start "$work/upstream.log" "$bin/upstream_stand_in" --name counter-1
upstream=127.0.0.1:$(wait_for_field "$work/upstream.log" port)
start_node 1 domain-a --upstream-address "$upstream" --service counter
start_node 2 domain-b --seeds "$peer_1"
export SISKINRACK_NODES=$admin_1,$admin_2
sed -n '/^```sh$/,/^```$/p' "$root/docs/operators/README.md" | grep -v '^```' >"$work/commands"
check "the page has commands" test "$(wc -l <"$work/commands")" -ge 15
cd "$work" || exit 1
bin=$(cd "$OLDPWD" && cd "$bin" && pwd)
run_page() { PATH="$bin:$PATH" SOURCE_DIR="$root" bash -euo pipefail "$work/commands"; }
check "the page's commands run as written" run_page
expect "the rollback is version 3" 0 '"head_version":3,' "$bin/siskinctl" status --output json
# The reference page lists every setting of both programs; apply and timeline together have all those of siskinctl.
{
  "$bin/siskinrack-node" --help
  for command in apply timeline; do "$bin/siskinctl" $command --help; done
} | sed -n 's/^  --\([a-z-]*\).*/\1/p' | sort -u | grep -v -e '^help$' -e '^print-settings$' >"$work/settings"
while read -r name; do
  check "the reference lists --$name" grep -q -- "--$name\`" "$root/docs/operators/reference.md"
done <"$work/settings"
finish
