"""Fault injection: runs several processes of the program under seeded faults and checks their histories."""
