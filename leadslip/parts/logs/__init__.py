"""The part that configures logging (logs.py); always on."""
