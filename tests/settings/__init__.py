"""Tests of the loading and checking of settings."""

from __future__ import annotations
