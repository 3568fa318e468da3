"""Tests of the decision cores, which are state machines without I/O."""

from __future__ import annotations
