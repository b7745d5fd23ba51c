#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start beside the programs of the deploy file. All their stand-ins are plain
# JavaScript in this folder, so that there is nothing to compile; this checks that each file can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs 10/*.mjs; do node --check "$file"; done
for program in entry/bulrush-platform-entry.js agent/bulrush-platform-agent.js; do
  [ -f "../target/$program" ] || { echo "target/$program is missing: run the build of the deploy file first" >&2; exit 1; }
done
