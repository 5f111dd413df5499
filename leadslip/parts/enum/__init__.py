"""ENUM look-ups: a second front, over DNS (net/enum.py)."""
