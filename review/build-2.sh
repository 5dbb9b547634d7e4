#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10 into build-review-2/. Needs g++ and no library beyond the standard one. The
# sources are not called case.cpp: review/build.sh builds each file of that name.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
flags=(-std=c++20 -O1 -Wall -Wextra -pthread -Ireview/common-2)
g++ "${flags[@]}" -c review/common-2/stand_ins.cpp -o build-review-2/stand_ins.o
for number in 6 7 8 9 10; do
  [ ! -f "review/$number/trial.cpp" ] ||
    g++ "${flags[@]}" "review/$number/trial.cpp" build-review-2/stand_ins.o -o "build-review-2/case$number"
done
