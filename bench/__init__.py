"""Benchmarks and fault-injection runs; not part of the product."""

from __future__ import annotations
