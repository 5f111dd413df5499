"""Planned shares: the part of each district's calls that goes to each setup server, computed ahead of time."""
