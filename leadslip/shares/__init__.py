"""Planned shares: what part of each district's calls goes to which setup server, worked out ahead of time."""
