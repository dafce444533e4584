#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into build/review-2. Needs only g++,
# which the deploy file names.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
g++ -std=c++20 -O1 -Wall -Wextra -o build/review-2/drill review/standin-2/drill.cc
