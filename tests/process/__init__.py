"""Tests that run entries and agents as processes."""

from __future__ import annotations
