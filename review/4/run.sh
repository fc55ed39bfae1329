#!/usr/bin/env bash
# FAILBACK: a runner turns cold after the store came back from a copy 5 s old.
# TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/store_copy ] && [ -x target/dandelionbay ] || { echo "not built: see review/build.sh and deploy/system.toml"; exit 2; }
exec review/bin/store_copy review/4 cold 5000
