"""Scenarios of the product's guarantees, run under virtual time."""

from __future__ import annotations
