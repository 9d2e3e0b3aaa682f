#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into bin/, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
for n in 6 7 8 9 10; do
	[ -d "review/$n" ] || continue
	go build -o "bin/review-$n" "./review/$n"
done
