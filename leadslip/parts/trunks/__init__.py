"""Trunk groups: traffic measurement, and trunk reservation for live calls (trunks/)."""
