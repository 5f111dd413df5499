"""Group membership: member table, failure detection, gossip. Pure, no I/O; docs/fleet.md gives the design."""
