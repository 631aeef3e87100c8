#!/bin/sh
# Builds the stand-ins of cases 6 to 10. It needs nothing but the Go toolchain.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-standins-2 ./review/standins-2
