"""Decisions while capacity is short: who waits, who is refused, who goes first."""

from __future__ import annotations
