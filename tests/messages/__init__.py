"""Tests of the encoding of messages."""

from __future__ import annotations
