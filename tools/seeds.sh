#!/usr/bin/env bash
# Runs the fleet simulation for many seeds in 8 parallel processes:
# tools/seeds.sh BUILD FIRST COUNT. COUNT is rounded up to a multiple of 8.
# Prints up to 40 findings of the failing seeds, the most frequent ones first,
# and exits with status 1 if a seed failed.
set -uo pipefail
build=$1 first=$2 count=$3
workers=8
seeds_each=$(((count + workers - 1) / workers))
log_dir=$(mktemp -d)
for ((n = 0; n < workers; ++n)); do
    POMELOHINGE_SEEDS=$((first + n * seeds_each)):$seeds_each \
        "$build/simulation_test" --gtest_filter='seeds*' \
        >"$log_dir/$n.log" 2>&1 &
done
wait
grep -hE '^seed|^refused at|FAILED .*GetParam' "$log_dir"/*.log | sed -E 's/^(seed [0-9]+): [0-9.]+ s:/\1:/' |
    sort | uniq -c | sort -rn | head -40
passed=$(grep -h '^\[       OK' "$log_dir"/*.log | wc -l)
echo "$passed passed, $((seeds_each * workers - passed)) failed"
rm -rf "$log_dir"
[ "$passed" -eq $((seeds_each * workers)) ]
