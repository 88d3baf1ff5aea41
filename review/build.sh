#!/usr/bin/env bash
# The stand-ins are plain JavaScript and need no build; this checks their syntax.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/case.mjs; do
	node --check "$file"
done
