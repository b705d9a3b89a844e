#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
exec "$here/../bin/standin" other-model "$here/record.txt"
