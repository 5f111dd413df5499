"""One module for each kind of peer; only these speak Twisted's protocols."""
