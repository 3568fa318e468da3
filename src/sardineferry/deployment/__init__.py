"""Builds the programs that run on an operator's platform.

Each program has its own module, so that it imports only what it needs: while a
program starts, it serves nobody.
"""

from __future__ import annotations
