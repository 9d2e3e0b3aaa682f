#!/bin/sh
# Builds every stand-in that a script under review/ starts, into review/bin. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
for main in review/*/main.go; do
	name=$(basename "$(dirname "$main")")
	go build -o "review/bin/case$name" "./review/$name"
done
