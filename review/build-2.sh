#!/usr/bin/env bash
# Builds the stand-ins of the cases from 6 on into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O2 -Wall -Wextra -pthread review/standin-2/world.cc \
  review/standin-2/cases.cc -o target/review-2/cases
