#!/bin/sh
# Builds the programs of the cases, with their stand-ins, under target/review/.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target/review"
for source in "$root"/review/[0-9]*/case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -I "$root/review/standins" \
    -o "$root/target/review/case-$number" "$source"
done
