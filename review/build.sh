#!/usr/bin/env bash
# Builds the stand-ins of the scripts into target/review. Needs only packages
# that the deploy file names.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O1 -Wall -Wextra -pthread review/standin/rig.cc \
  review/standin/cases.cc -o target/review/rig
