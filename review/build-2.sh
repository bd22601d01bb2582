#!/bin/bash
# Builds the stand-ins that the scripts of the second review start. The build of the deploy
# file comes first: it makes the programs that they test.
cd "$(dirname "$0")/.." || exit 2
go build -buildvcs=false -o target/review-2/kit ./review/_kit2 &&
	go build -buildvcs=false -o target/review-2/kit3 ./review/_kit3
