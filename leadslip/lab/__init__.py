"""Simulation: runs the fleet's own code on a virtual clock and network, with more members than real processes allow."""
