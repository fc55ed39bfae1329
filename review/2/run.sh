#!/usr/bin/env bash
# BUDGET: a prompt part crashes each runner that writes an event of an answer on it.
# TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec review/bin/tainted_part review/2 1 once
