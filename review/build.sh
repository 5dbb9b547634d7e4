#!/usr/bin/env bash
# Builds the stand-ins and clients of all cases into review/.build; needs only the compiler.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p .build
for source in */case.cpp; do
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -o ".build/case-$(dirname "$source")" "$source"
done
