"""Trunk groups: loss formulas, traffic measurement, dimensioning, and trunk reservation for live calls."""
