#!/bin/sh
# Plays the case ack. Exit status: 1 the rule was broken, 0 it held, 2 it couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/roseridge target/release/roseridge-agent target/review/standin; do
    [ -x "$program" ] || { echo "$program isn't built" >&2; exit 2; }
done
exec target/review/standin ack "review/5/record.txt"
