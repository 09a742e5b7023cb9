#!/bin/sh
# The stand-ins of the cases are Python programs of the standard library only
# (review/common), so nothing is compiled; this checks that they can be loaded.
# The gateways come from the build of the deploy file.
set -e
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import sys; sys.path.insert(0, "common"); import rig'
