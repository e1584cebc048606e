#!/bin/sh
# Builds the programs of the cases 4 to 8, with their stand-ins, into target/review-2. Run it after the
# build of the deploy file; it needs nothing beside the packages of deploy/packages.txt.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 4 5 6 7 8; do
  for source in "review/$number"/*.cpp; do
    [ -f "$source" ] || continue
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-2/$(basename "$source" .cpp)" "$source"
  done
done
