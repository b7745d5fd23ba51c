#!/usr/bin/env bash
# Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")" && exec node case.mjs
