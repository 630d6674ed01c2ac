#!/usr/bin/env bash
# Exits with 1 if LOST was broken, 0 if it was kept, 2 if the case could not run. TROUBLE=0: no other writer.
cd "$(dirname "$0")" || exit 2
exec timeout --foreground 110 node case.mjs
