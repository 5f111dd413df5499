"""leadslip fleet: what a proxy holds of its fleet."""

from __future__ import annotations

import contextlib
import http.client
import itertools
import json
import sys
import time
from typing import TYPE_CHECKING

import click

from leadslip.cli.told import as_json, table, tell
from leadslip.errors import OperatorError

if TYPE_CHECKING:
    from rich.table import Table


class AskError(OperatorError):
    """A proxy can't be asked about its fleet."""

    code, status = "command.ask", 502
    action = "See that the address is the operators' address of a proxy that runs, and that its fleet is on."


def asked(ops: str, path: str) -> dict:
    """The answer of a proxy's operators' address; raises AskError where there is none."""
    host, _, port = ops.rpartition(":")
    try:
        link = http.client.HTTPConnection(host, int(port), timeout=5.0)
        link.request("GET", path)
        answer = link.getresponse()
        body = answer.read()
    except (OSError, ValueError, http.client.HTTPException) as fault:
        raise AskError(f"{ops} can't be asked: {fault}") from fault
    if answer.status == 404:
        raise AskError(f"{ops}: the fleet is off there")
    if answer.status != 200:
        raise AskError(f"{ops} answers {answer.status}")
    return json.loads(body)


ops = click.option("--ops", required=True, metavar="ADDRESS", help="The operators' address of a proxy.")


@click.group()
def fleet() -> None:
    """The fleet as a proxy sees it."""


COLOURS = {"alive": "green", "suspect": "yellow", "dead": "red", "left": "dim"}


def members_of(told: dict, title: str = "") -> Table:
    """Who is there, as a table."""
    from rich.markup import escape
    from rich.table import Table

    shown = Table(title=title or None)
    for name in ("name", "run", "address", "zone", "state", "way", "takes calls", "version"):
        shown.add_column(name)
    shown.add_column("for s", justify="right")
    for one in told["members"]:
        facts = one["facts"]
        state = f"[{COLOURS[one['state']]}]{one['state']}[/]"
        way = "straight" if one["way"] == "straight" else "through others"
        cells = escape(one["name"]), one["run"], one["address"], escape(one["zone"]), state, way
        service = facts.get("service", "?")
        taking = {"in": "yes", "out": "no, out of service", "ending": "no, ending"}.get(
            service, escape(str(service))
        )
        shown.add_row(
            *cells, taking, escape(str(facts.get("version", "?"))), f"{one['since_ms'] / 1000.0:.1f}"
        )
    return shown


def shown(table: Table) -> None:
    """Print a table; as wide as it is where no terminal tells a width."""
    from rich.console import Console

    console = Console()
    if not console.is_terminal:
        console = Console(width=200)
    console.print(table)


@fleet.command()
@ops
@as_json
def members(ops: str, json_: bool) -> None:
    """Who is there."""
    told = asked(ops, "/control/fleet")
    live = sum(one["state"] in ("alive", "suspect") for one in told["members"])
    if json_:
        tell(told, json_)
        return
    shown(members_of(told))
    click.echo(f"{live} live; digest {told['digest']}")


@fleet.command()
@ops
@click.option(
    "--every", "every_s", type=float, default=1.0, show_default=True, help="Seconds between two looks."
)
@click.option("--looks", type=int, default=0, help="So many looks; 0: until interrupted.")
def watch(ops: str, every_s: float, looks: int) -> None:
    """Show the view as it changes: on a terminal in place, with the changes above it; else the changes alone."""
    from rich.console import Console
    from rich.live import Live

    console = Console()
    told = asked(ops, "/control/fleet")
    if not console.is_terminal:
        shown(members_of(told))
    before = states_of(told)
    live = Live(members_of(told, ops), console=console, auto_refresh=False)
    with live if console.is_terminal else contextlib.nullcontext():
        for look in itertools.count(1):
            live.update(members_of(told, ops), refresh=console.is_terminal)
            if look == looks:
                break
            time.sleep(every_s)
            told = asked(ops, "/control/fleet")
            now = states_of(told)
            for key in sorted(before.keys() | now.keys()):
                if before.get(key) != now.get(key):
                    change = f"{key}: {before.get(key, '-')} -> {now.get(key, 'forgotten')}"
                    console.print(f"{time.strftime('%H:%M:%S')} {change}", highlight=False)
            before = now


def states_of(told: dict) -> dict[str, str]:
    return {f"{one['name']} {one['run']}": one["state"] for one in told["members"]}


@fleet.command()
@click.option(
    "--ops", "several", required=True, multiple=True, metavar="ADDRESS", help="Several: views are compared."
)
@as_json
def health(several: tuple[str, ...], json_: bool) -> None:
    """How well proxies know the fleet; exit code 1 where they hold different views, or one is not held alive."""
    views = {one: asked(one, "/control/fleet") for one in several}
    digests = {told["digest"] for told in views.values()}
    rows = [
        (
            one,
            told["self"]["name"],
            told["digest"],
            told["health"],
            "never" if told["vouched_ms"] is None else round(told["vouched_ms"] / 1000.0, 1),
            sum(member["way"] != "straight" for member in told["members"]),
        )
        for one, told in views.items()
    ]
    head = ("proxy", "name", "digest", "slowness", "held alive s ago", "ways cut")
    same = "one view" if len(digests) == 1 else f"{len(digests)} views"
    tell({"same": len(digests) == 1, "views": views}, json_, [*table(head, rows), same])
    sys.exit(int(len(digests) > 1 or any(told["vouched_ms"] is None for told in views.values())))
