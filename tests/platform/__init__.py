"""Tests of the adapters to the platform's store, settings and workers."""

from __future__ import annotations
