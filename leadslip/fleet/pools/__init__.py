"""Connection budgets of setup servers, split by a policy's words among tenants and proxies. No I/O."""
