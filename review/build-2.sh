#!/bin/sh
# Builds the stand-ins of the second review's cases (6 to 10) into build/review-2. Run after the build of the deploy
# file. Needs what that build needs: a C++20 compiler and nlohmann-json.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/[0-9]*/case.cpp; do
  n=$(basename "$(dirname "$source")")
  ${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread -Ireview/standin-2 "$source" -o "build/review-2/case$n"
done
