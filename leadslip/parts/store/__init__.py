"""The embedded store, for what outlives the process (keeper.py, store/)."""
