"""Settings and lists on which the proxies of a fleet agree (fleet/agreement/)."""
