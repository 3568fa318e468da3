"""Tests of the decision core of an entry."""

from __future__ import annotations
