"""Trunk groups: traffic measured, and trunks reserved as a live limit (trunks/)."""
