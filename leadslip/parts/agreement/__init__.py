"""Part that gives a proxy the configuration replicated over the fleet (fleet/agreement/)."""
