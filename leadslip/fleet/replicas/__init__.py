"""Replication of a proxy's state (calls, learned rates) to other members of the fleet; pure, without I/O."""
