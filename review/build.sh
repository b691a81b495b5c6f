#!/bin/sh
# Builds the stand-ins of the cases into target/review/. Run it after the build
# of the deploy file; it needs only the compiler.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standin/*.cc; do
  ${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -I. -pthread -o \
    "target/review/$(basename "$source" .cc)" "$source"
done
