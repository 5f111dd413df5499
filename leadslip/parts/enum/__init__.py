"""The part that answers ENUM look-ups over DNS (net/enum.py)."""
