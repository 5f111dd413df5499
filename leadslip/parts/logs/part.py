"""Logging has nothing to wire: the log is opened before the proxy is created."""

from __future__ import annotations

from leadslip.parts.part import Part


class Logs(Part):
    """Adds nothing to the proxy, whose log is opened before it is created."""


PART = Logs
