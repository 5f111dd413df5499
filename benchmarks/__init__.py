"""Benchmarks: run manually, not by the test suite; each prints its results."""
