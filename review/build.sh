#!/bin/bash
# Builds the stand-ins and the drivers of the cases into review/bin. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for case in [0-9]; do
  [ -e "$case/case.cpp" ] || continue
  if [ "bin/case$case" -nt "$case/case.cpp" ] && [ "bin/case$case" -nt standins.hpp ] &&
     { [ ! -e uwsgi_standins.hpp ] || [ "bin/case$case" -nt uwsgi_standins.hpp ]; }; then continue; fi
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "bin/case$case" "$case/case.cpp"
done
