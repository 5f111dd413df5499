"""How events are written: nothing to wire, the log is there before the proxy."""

from __future__ import annotations

from leadslip.parts.part import Part


class Logs(Part):
    """Needs no wiring: the log is there before the proxy."""


PART = Logs
