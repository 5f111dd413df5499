"""The fleet: proxies that know one another (fleet/, net/peers.py). Off on the platform, where they share nothing."""
