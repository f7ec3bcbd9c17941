#!/usr/bin/env bash
# The stand-ins are plain modules of Node.js without dependencies: there is
# nothing to compile, so this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]/*.mjs; do
  node --check "$file"
done
