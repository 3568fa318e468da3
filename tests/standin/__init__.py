"""Tests of the stand-ins for the log, targets and workers."""

from __future__ import annotations
