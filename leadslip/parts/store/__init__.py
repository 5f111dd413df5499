"""The embedded store, for data that outlives the process (recorder.py, store/)."""
