#!/bin/bash
# The stand-ins need nothing but Python 3.11: checks that they can be loaded.
cd "$(dirname "$0")" || exit 1
exec python3 -B -c 'import standin.case, standin.client'
