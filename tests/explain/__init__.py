"""Tests of the explanation of losses from logs."""

from __future__ import annotations
