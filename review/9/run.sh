#!/bin/sh
# Lets the store turn one entry host away for some seconds, while a configuration moves a
# public route to another service. Seven cycles, 95 s. TROUBLE=0: the store turns nobody away.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/acacialink ] && [ -x target/review-2/standin ] || exit 2
exec target/review-2/standin stale target/acacialink review/9/record.txt
