"""Settings and lists with versions, on which the proxies of a fleet agree. No I/O."""
