#!/bin/sh
# Builds the stand-ins of the cases into review/bin. Needs g++ alone. The project itself is built as usual.
cd "$(dirname "$0")" || exit 2
mkdir -p bin || exit 2
for n in 1 2 3; do
  [ -f "$n/standin.cpp" ] || continue
  if [ "bin/case$n" -nt "$n/standin.cpp" ] && [ "bin/case$n" -nt standin/standin.hpp ]; then continue; fi
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "bin/case$n.new" "$n/standin.cpp" || exit 2
  mv "bin/case$n.new" "bin/case$n" || exit 2
done
