"""Tests of HTTP on the loop."""
