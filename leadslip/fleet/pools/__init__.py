"""Connection budgets of setup servers, divided among tenants and proxies by a policy; pure, without I/O."""
