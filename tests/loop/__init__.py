"""Tests of the event loop."""
