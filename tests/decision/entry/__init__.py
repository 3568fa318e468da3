"""Tests of the decision logic of an entry."""

from __future__ import annotations
