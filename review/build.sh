#!/bin/sh
# Builds the program that the scripts start: clients, operator and executors are parts of it.
set -e
cd "$(dirname "$0")/kit"
mkdir -p ../../target/review
go build -buildvcs=false -o ../../target/review/kit .
