"""Measurements: run by hand, never in the tests; each prints its figures and the machine."""
