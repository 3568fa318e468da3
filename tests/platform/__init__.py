"""Tests of the adapters to the operator's platform."""

from __future__ import annotations
