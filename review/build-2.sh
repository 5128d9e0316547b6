#!/bin/sh
# Builds the stand-ins of cases 6 to 10: one program a case, by the compiler alone, without a dependency.
# Run it after the build of the deploy file. The programs go to target/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/case-2.rs; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    rustc --edition 2024 -C opt-level=1 -o "target/review-2/case-$number" "$source"
done
