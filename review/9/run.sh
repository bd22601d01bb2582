#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0
# leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/filbertmast ] || [ ! -x target/review-2/kit3 ]; then
	echo "could not run: build the deploy file, then review/build-2.sh"
	exit 2
fi
exec target/review-2/kit3 fresh review/9/record.txt
