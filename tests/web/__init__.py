"""Tests of the HTTP client and servers on the event loop."""
