"""The commands of the ``sardineferry`` program, one in each module."""

from __future__ import annotations
