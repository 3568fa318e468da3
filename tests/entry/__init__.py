"""Tests of the entry process's HTTP interface."""

from __future__ import annotations
