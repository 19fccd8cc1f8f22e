#!/usr/bin/env bash
# Builds the stand-ins that the cases start: the project's store and the review's own, which needs
# the C library only. The daemon itself is built as the deploy file says.
set -eu
cd "$(dirname "$0")/.."
make -s build/release/standin/store
mkdir -p build/review
cp build/release/standin/store build/review/store.new && mv build/review/store.new build/review/store
cc -std=gnu11 -O2 -g -Wall -Wextra -D_GNU_SOURCE -o build/review/peer review/standin/peer.c -lpthread
