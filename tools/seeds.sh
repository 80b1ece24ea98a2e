#!/usr/bin/env bash
# Runs randomised fleets for many seeds, on up to 8 processes:
# tools/seeds.sh BUILD FIRST COUNT. Prints the failing seeds with what was
# seen and ends with status 1 if there are any.
set -uo pipefail
build=$1 first=$2 count=$3
workers=8
each=$(((count + workers - 1) / workers))
folder=$(mktemp -d)
for ((it = 0; it < workers; ++it)); do
    POMELOHINGE_SEEDS=$((first + it * each)):$each \
        "$build/simulation_test" --gtest_filter='seeds*' \
        >"$folder/$it.log" 2>&1 &
done
wait
grep -hE '^seed|^refused at|FAILED .*GetParam' "$folder"/*.log | sed -E 's/^(seed [0-9]+): [0-9.]+ s:/\1:/' |
    sort | uniq -c | sort -rn | head -40
passed=$(grep -h '^\[       OK' "$folder"/*.log | wc -l)
echo "$passed passed, $((each * workers - passed)) failed"
rm -rf "$folder"
[ "$passed" -eq $((each * workers)) ]
