#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts; they need the standard library
# of Python 3.11 only.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q harness [1-5]
