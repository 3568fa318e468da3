"""Tests of the adapters to the platform."""

from __future__ import annotations
