#!/usr/bin/env bash
# DENIED: two runners crash while the first requests with a new prompt part are read there.
# TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/false_block ] && [ -x target/dandelionbay ] || { echo "not built: see review/build.sh and deploy/system.toml"; exit 2; }
exec review/bin/false_block review/1 300
