"""The fleet: proxies that know one another and act as one. Off unless LEADSLIP_FLEET names a file."""
