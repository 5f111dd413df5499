"""Who is there: members, suspicion, spread. No I/O; docs/fleet.md gives the reasons."""
