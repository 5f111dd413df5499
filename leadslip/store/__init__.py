"""One embedded store for all that outlives the process: time series and state, on SQLite in WAL mode."""
