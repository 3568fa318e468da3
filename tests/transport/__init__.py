"""Tests of links."""

from __future__ import annotations
