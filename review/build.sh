#!/bin/bash
# Builds the stand-ins of the cases into review/build/.
# The sources end in .cc, since the cases stay out of CI, which takes in all
# .cpp and .hpp files.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for source in [1-5]/case.cc; do
    [ -e "$source" ] || continue
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "build/case-${source%%/*}" \
        "$source" -lboost_json
done
