"""Measurements; nothing here is part of the product."""

from __future__ import annotations
