#!/usr/bin/env bash
# Builds the stand-ins of the second review; they need only Python itself.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/cases_2
