#!/usr/bin/env bash
# Builds what the scripts of this review start, after the build of the deploy
# file: the project's stand-ins, to dist/. Nothing is fetched.
set -euo pipefail
cd "$(dirname "$0")/.."
npm run --silent build
