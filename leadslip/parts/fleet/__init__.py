"""Joins this proxy to a fleet (fleet/, net/peers.py). Off by default: on the platform proxies share nothing."""
