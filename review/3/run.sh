#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
name=$(basename "$here")
if [ ! -x "review/bin/case$name" ] || [ ! -x bin/elderwall ]; then
	echo "the build of the deploy file and review/build.sh come first" >&2
	exit 2
fi
exec timeout -k 5 110 "review/bin/case$name" "$here"
