"""Tests of messages."""

from __future__ import annotations
