"""The lab: the program's own decisions on a virtual clock and a virtual network, at sizes processes don't reach."""
