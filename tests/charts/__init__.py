"""Tests of state charts."""

from __future__ import annotations
