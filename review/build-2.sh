#!/bin/sh
# Checks that the stand-ins of review/6 to review/10 compile. They need nothing but the
# standard library of python3, and the cases start no stand-in of the project.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile shared-2/standins.py
for case in 6 7 8 9 10; do
    if [ -e "$case/case.py" ]; then
        python3 -m py_compile "$case/case.py"
    fi
done
