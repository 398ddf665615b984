#!/bin/sh
# Builds the stand-ins of the second review's cases (6 to 10), after the build of the deploy file: one program a case,
# with the standard library alone. Needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
    case="review/$number/case.rs"
    [ ! -f "$case" ] || rustc --edition 2024 -O -o "target/review-2/case-$number" "$case"
done
