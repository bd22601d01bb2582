#!/bin/sh
# Starts a trial deployment on loopback, runs one part of the load and ends the
# processes that it started. Usage: measure.sh BINARY PART CONTROL [--json]
# Environment: ENTRIES is the number of entry processes, 1 by default.
set -eu
binary=$1 part=$2 control=$3
shift 3
dir=$(mktemp -d)
pids=
finish() {
	for pid in $pids; do kill "$pid" 2>/dev/null || true; done
	wait
	rm -rf "$dir"
}
trap finish EXIT INT TERM
"$binary" measure prepare --dir "$dir" --control "$control" --entries "${ENTRIES:-1}" >&2
for settings in "$dir"/settings/*.json; do
	"$binary" serve --settings "$settings" 2>>"$dir/log" &
	pids="$pids $!"
done
sleep 3
"$binary" measure load --dir "$dir" --part "$part" "$@" || { tail -20 "$dir/log" >&2; exit 1; }
