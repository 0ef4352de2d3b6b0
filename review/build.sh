#!/bin/sh
# Builds the stand-ins of the review into target/review/, after the build line
# of deploy/system.toml, whose libraries they use.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O2 -pthread -o target/review/review_stand \
  review/stand/main.cc review/stand/driver.cc review/stand/platform.cc \
  target/src/libbw.a target/src/platform/libbw_platform.a \
  target/src/net/libbw_net.a target/src/libbw.a \
  target/src/platform/libbw_platform.a target/src/net/libbw_net.a \
  target/src/proto/libbw_proto.a -llog4cplus -lpopt -lsimpleini -lsodium \
  -lxxhash -lprotobuf -lcurl -lhttp_parser -lfmt -lzmq
