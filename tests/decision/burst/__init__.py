"""Tests of decisions on burst jobs."""
