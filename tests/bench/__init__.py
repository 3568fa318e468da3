"""Tests of the benchmarks and of the soak test."""

from __future__ import annotations
