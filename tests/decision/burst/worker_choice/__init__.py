"""Tests the choice of workers."""
