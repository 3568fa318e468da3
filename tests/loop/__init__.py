"""Tests of the loop."""
