#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
for program in target/review/standin target/release/bergamot-platform; do
    if [ ! -x "$program" ]; then
        echo "$program is missing: build it first" >&2
        exit 2
    fi
done
exec target/review/standin stop "$folder"
