#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 9 into target/review-2. Needs only the
# compiler that the build of the deploy file needs.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for folder in review/6 review/7 review/8 review/9; do
  if [ -f "$folder/case.cc" ]; then
    "${CXX:-g++}" -std=c++20 -O2 -pthread -Wall -Wextra \
      -o "target/review-2/case-${folder#review/}" "$folder/case.cc"
  fi
done
