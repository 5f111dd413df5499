"""Part that joins this proxy to a fleet (fleet/, net/peers.py). Off on the platform, where proxies share nothing."""
