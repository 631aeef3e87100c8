#!/bin/sh
# Builds the stand-ins that the cases' scripts start. The programs under test are built by the deploy file's build line.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-standins ./review/standins
