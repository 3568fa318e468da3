"""Tests of the decision cores for burst jobs."""
