"""Tests of the decision core of an agent."""

from __future__ import annotations
