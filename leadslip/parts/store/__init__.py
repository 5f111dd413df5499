"""The embedded store, for data that outlives the process (keeper.py, store/)."""
