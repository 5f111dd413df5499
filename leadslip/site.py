"""The configuration of a demonstration proxy that sets its calls up at one toy server; used by `leadslip demo`."""

from __future__ import annotations


def settings() -> dict:
    """The value of `settings` in config.json, with two call classes."""
    common = {"aim_ms": 1500.0, "deadline_ms": 9000.0}
    return {
        "balancers": 1,
        "index": 0,
        "tick_ms": 5.0,
        "limits": {"most_tries": 4, "cancel": True, "retry_after": True, "max_retry_after_ms": 2000.0},
        "obligations": {
            "cold_from": 0.3,
            "warm_after_ms": 14000.0,
            "tip_multiple": 2.5,
            "tip_after_ms": 1500.0,
            "stop_sending_within_ms": 1000.0,
        },
        "extra": {"guard_ms": 500.0},
        "services": [
            {"name": "resident-call", "gain": 1.0, "late_worth": 0.25} | common,
            {"name": "officer-call", "gain": 3.0, "late_worth": 0.1} | common,
        ],
    }


def demo_config(server_port: int, board_port: int, listen_port: int) -> dict:
    """The content of config.json; all ports are on loopback, and the proxy chooses `listen_port` if it is 0."""
    target = {
        "uid": "toy",
        "endpoint": f"127.0.0.1:{server_port}",
        "state": "active",
        "pod_group": 0,
        "az": "",
    }
    return {
        "name": "demo",
        "listen": f"127.0.0.1:{listen_port}",
        "board": f"127.0.0.1:{board_port}",
        "seed": "5eed",
        "limits": {"sockets": 256},
        "settings": settings(),
        "known": {"rev": 1, "notices": [{"rev": 1, "pool": {"rev": 1, "all": True, "targets": [target]}}]},
    }
