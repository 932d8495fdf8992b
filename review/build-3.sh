#!/bin/sh
# Builds the stand-ins of cases 11 to 13 into target/review-3/. The header of nlohmann-json3-dev, a
# package of the deploy file, is all that they need.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for name in sim world platform cases; do
    g++ -std=c++20 -O1 -pthread -c "review/standin-3/$name.cc" -o "target/review-3/$name.o" &
    jobs="$jobs $!"
done
for job in $jobs; do
    wait "$job"
done
g++ -pthread target/review-3/sim.o target/review-3/world.o \
    target/review-3/platform.o target/review-3/cases.o \
    -o target/review-3/cases
