#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start, into build/review-2/. They need only
# the C library.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-2
${CC:-cc} -O2 -g -Wall -Wextra -pthread -o build/review-2/kit review/standin-2/kit.c
