#!/usr/bin/env bash
# BUDGET: a prompt part crashes each runner that writes an event of an answer on it.
# TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/tainted_part ] && [ -x target/dandelionbay ] || { echo "not built: see review/build.sh and deploy/system.toml"; exit 2; }
exec review/bin/tainted_part review/2 1 once
