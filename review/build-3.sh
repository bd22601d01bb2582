#!/bin/bash
# Builds the program that the scripted cases of the third review start: their stand-ins of
# executors, requesters and the operator. It runs after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-3 ./review/_kit4
