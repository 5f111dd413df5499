"""Embedded store for data that outlives the process: time series and state, on SQLite in WAL mode."""
