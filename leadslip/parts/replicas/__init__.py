"""What one proxy knows, held by others too (fleet/replicas/)."""
