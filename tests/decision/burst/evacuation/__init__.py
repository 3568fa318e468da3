"""Tests of evacuations of data centres."""
