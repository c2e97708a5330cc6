#!/bin/bash
# Builds the stand-ins and the drivers of the cases, or of the case named, into review/bin. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for case in ${1:-[0-9]}; do
  fresh=1
  for source in "$case/case.cpp" standins.hpp uwsgi_standins.hpp; do
    [ "bin/case$case" -nt "$source" ] || fresh=0
  done
  [ $fresh = 1 ] && continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "bin/case$case.$$" "$case/case.cpp"
  mv "bin/case$case.$$" "bin/case$case"  # whole at once, where two scripts build beside each other
done
