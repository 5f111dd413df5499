"""Trunk groups: loss formulas, traffic as measured, sizing, and the live limit that reserves trunks."""
