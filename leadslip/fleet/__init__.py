"""Fleet: membership, agreement and replication among proxies. Off unless LEADSLIP_FLEET names a settings file."""
