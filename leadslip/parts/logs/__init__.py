"""How events are written (logs.py); never off."""
