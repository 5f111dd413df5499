"""What one proxy knows, held by others too. No I/O."""
