#!/usr/bin/env bash
# Builds what the scripts of the third review start beside bwentry: the
# project's stand-in of the platform and the driver. Run it after the build of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --build target --target bwfakeplatform -j 4
mkdir -p target/review-3
c++ -std=c++20 -O1 -g1 -Wall -Wextra review/stand-3/driver.cc \
  -o target/review-3/driver -lcurl -pthread
