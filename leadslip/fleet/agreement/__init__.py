"""Replicated, versioned configuration shared by the proxies of a fleet: a Raft log and its readers. Performs no I/O."""
