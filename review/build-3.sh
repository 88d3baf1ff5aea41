#!/bin/sh
# Prepares the stand-ins of review/lib-3 and the cases 11 and later: plain scripts for Node, of which only the syntax is checked.
set -eu
cd "$(dirname "$0")"
for file in lib-3/*.js 1[1-5]/*.js; do
	node --check "$file"
done
