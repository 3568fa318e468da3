#!/bin/sh
# Checks that the cases and their stand-ins compile; they need Python 3.11 alone.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile common/standins.py common/fleet.py [1-5]/case.py
