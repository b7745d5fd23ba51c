#!/bin/sh
# The stand-ins of the cases are plain scripts and need no build; this checks that they can be read, and that the deploy
# file's build has made the programs that they start.
cd "$(dirname "$0")" || exit 2
for file in lib/*.mjs [1-5]/*.mjs; do
  node --check "$file" || exit 1
done
for program in ../target/entry/bulrush-platform-entry.js ../target/agent/bulrush-platform-agent.js; do
  [ -f "$program" ] || { echo "$program is missing: run the build of the deploy file first"; exit 1; }
done
