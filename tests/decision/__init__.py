"""Tests of decision code."""

from __future__ import annotations
