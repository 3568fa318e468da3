"""Tests of the links between processes."""

from __future__ import annotations
