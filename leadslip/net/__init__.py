"""Network I/O: one module for each kind of peer. Protocols of Twisted are implemented only here."""
