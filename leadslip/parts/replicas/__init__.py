"""Replication of calls and learned rates to other members of the fleet (fleet/replicas/)."""
