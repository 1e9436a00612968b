#!/usr/bin/env bash
# The last key of the only tenant is taken away, then the tenant is removed. Exit codes: 1 broken, 0 held, 2 couldn't run.
cd "$(dirname "$0")/../.." || exit 2
exec timeout 115 target/review-2/stand2 last-tenant review/8/record.txt
