#!/bin/bash
# Builds the programs of the scripts of the second review into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review-2
for name in late_heartbeat crashing_request slow_body slow_crash; do
    g++ -std=c++20 -O1 -Wall -Wextra -Werror -pthread \
        -o "target/review-2/$name" "review/standins-2/$name.cc" \
        -lboost_json -lcrypto
done
