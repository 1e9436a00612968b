#!/usr/bin/env bash
# All servers of a zone leave at once without reporting that they drain. Exit codes: 1 broken, 0 held, 2 couldn't run.
cd "$(dirname "$0")/../.." || exit 2
exec timeout 115 target/review-2/stand2 reclaimed-zone review/8/record.txt
