#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 does the same without the disruption.
exec timeout --signal=TERM --kill-after=5 118 \
  node "$(dirname "$0")/play.mjs"
