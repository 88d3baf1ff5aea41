#!/bin/bash
# The stand-ins of the cases 6 to 10 are plain JavaScript in review/lib-2 and use only what Node brings along, so that nothing has to be built. The cases start the entries that the deploy file builds into target/.
set -e
cd "$(dirname "$0")/.."
test -f target/pistachiogauge-entry.js || { echo "target/pistachiogauge-entry.js is missing; run the build of deploy/system.toml first" >&2; exit 1; }
for file in review/lib-2/*.js; do
	node --check "$file"
done
