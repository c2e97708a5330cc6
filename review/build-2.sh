#!/bin/sh
# Builds the stand-ins of cases 6 and up into build/review-2, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for number in 6 7 8 9 10; do
  source=review/$number/case.cpp
  [ -e "$source" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -DMARBLEWHARF='"build/marblewharf"' "$source" \
    -o "build/review-2/case-$number" -pthread
done
