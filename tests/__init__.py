"""Tests of sardineferry."""

from __future__ import annotations
