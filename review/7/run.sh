#!/usr/bin/env bash
# Machines are lost for good one after the other, each replaced by one at another address. Exit codes: 1 broken, 0 held, 2 couldn't run.
cd "$(dirname "$0")/../.." || exit 2
exec timeout 115 target/review-2/stand2 lost-machines review/7/record.txt
