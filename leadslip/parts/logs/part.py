"""The empty part of logging: `__main__` opens the log before it creates the proxy and its parts."""

from __future__ import annotations

from leadslip.parts.part import Part


class Logs(Part):
    """Does nothing; needed since each name in parts.NAMES must have a part."""


PART = Logs
