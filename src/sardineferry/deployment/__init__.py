"""The composition root of the programs on an operator's platform.

A module for each program, so that it loads no more than it needs: a start is
time in which nobody is served.
"""

from __future__ import annotations
