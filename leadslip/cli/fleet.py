"""`leadslip fleet`: shows the fleet membership that proxies report at their operators' address."""

from __future__ import annotations

import contextlib
import http.client
import itertools
import json
import sys
import time
from typing import TYPE_CHECKING

import click

from leadslip.cli.output import format_table, json_option, print_result
from leadslip.errors import OperatorError

if TYPE_CHECKING:
    from rich.table import Table


class AskError(OperatorError):
    """A proxy can't be queried about its fleet."""

    code, status = "command.ask", 502
    action = (
        "Check that the address is the operators' address of a running proxy, "
        "and that its fleet part is enabled."
    )


def fetch(ops: str, path: str) -> dict:
    """GET a JSON document from a proxy's operators' address; raises AskError if it gives none."""
    host, _, port = ops.rpartition(":")
    try:
        connection = http.client.HTTPConnection(host, int(port), timeout=5.0)
        connection.request("GET", path)
        response = connection.getresponse()
        body = response.read()
    except (OSError, ValueError, http.client.HTTPException) as error:
        raise AskError(f"cannot query {ops}: {error}") from error
    if response.status == 404:
        raise AskError(f"{ops}: the fleet part is not enabled on this proxy")
    if response.status != 200:
        raise AskError(f"{ops} answered with HTTP status {response.status}, expected 200")
    return json.loads(body)


ops_option = click.option("--ops", required=True, metavar="ADDRESS", help="Operators' address of a proxy.")


@click.group()
def fleet() -> None:
    """Show the fleet membership as seen by proxies."""


STATE_COLOURS = {"alive": "green", "suspect": "yellow", "dead": "red", "left": "dim"}


def member_table(view: dict, title: str = "") -> Table:
    """Build a table of the members in a view."""
    from rich.markup import escape
    from rich.table import Table

    rows = Table(title=title or None)
    for name in ("name", "run", "address", "zone", "state", "path", "takes calls", "version"):
        rows.add_column(name)
    rows.add_column("in state for s", justify="right")
    for member in view["members"]:
        metadata = member["facts"]
        state = f"[{STATE_COLOURS[member['state']]}]{member['state']}[/]"
        network_path = "straight" if member["way"] == "straight" else "relayed"
        cells = (
            escape(member["name"]),
            member["run"],
            member["address"],
            escape(member["zone"]),
            state,
            network_path,
        )
        service = metadata.get("service", "?")
        takes_calls = {"in": "yes", "out": "no, out of service", "ending": "no, ending"}.get(
            service, escape(str(service))
        )
        rows.add_row(
            *cells,
            takes_calls,
            escape(str(metadata.get("version", "?"))),
            f"{member['since_ms'] / 1000.0:.1f}",
        )
    return rows


def print_table(table: Table) -> None:
    """Print a table; 200 columns wide when the output is not a terminal."""
    from rich.console import Console

    console = Console()
    if not console.is_terminal:
        console = Console(width=200)
    console.print(table)


@fleet.command()
@ops_option
@json_option
def members(ops: str, json_: bool) -> None:
    """List the members of the fleet."""
    view = fetch(ops, "/control/fleet")
    live_count = sum(member["state"] in ("alive", "suspect") for member in view["members"])
    if json_:
        print_result(view, json_)
        return
    print_table(member_table(view))
    click.echo(f"{live_count} live; digest {view['digest']}")


@fleet.command()
@ops_option
@click.option(
    "--every", "every_s", type=float, default=1.0, show_default=True, help="Polling interval in seconds."
)
@click.option("--looks", type=int, default=0, help="Number of polls; 0: until interrupted.")
def watch(ops: str, every_s: float, looks: int) -> None:
    """Poll the view and show its changes, on a terminal above a table that is updated in place."""
    from rich.console import Console
    from rich.live import Live

    console = Console()
    view = fetch(ops, "/control/fleet")
    if not console.is_terminal:
        print_table(member_table(view))
    before = member_states(view)
    live = Live(member_table(view, ops), console=console, auto_refresh=False)
    with live if console.is_terminal else contextlib.nullcontext():
        for poll in itertools.count(1):
            live.update(member_table(view, ops), refresh=console.is_terminal)
            if poll == looks:
                break
            time.sleep(every_s)
            view = fetch(ops, "/control/fleet")
            now = member_states(view)
            for key in sorted(before.keys() | now.keys()):
                if before.get(key) != now.get(key):
                    change = f"{key}: {before.get(key, '-')} -> {now.get(key, 'forgotten')}"
                    console.print(f"{time.strftime('%H:%M:%S')} {change}", highlight=False)
            before = now


def member_states(view: dict) -> dict[str, str]:
    """Map each member's name and run to its state."""
    return {f"{member['name']} {member['run']}": member["state"] for member in view["members"]}


@fleet.command()
@click.option(
    "--ops",
    "addresses",
    required=True,
    multiple=True,
    metavar="ADDRESS",
    help="Operators' address of a proxy; give it once for each proxy to compare.",
)
@json_option
def health(addresses: tuple[str, ...], json_: bool) -> None:
    """Compare the views of proxies.

    Exits with 1 if they differ, or if a proxy has not been confirmed alive by any peer.
    """
    views = {address: fetch(address, "/control/fleet") for address in addresses}
    digests = {view["digest"] for view in views.values()}
    rows = [
        (
            address,
            view["self"]["name"],
            view["digest"],
            view["health"],
            "never" if view["vouched_ms"] is None else round(view["vouched_ms"] / 1000.0, 1),
            sum(member["way"] != "straight" for member in view["members"]),
        )
        for address, view in views.items()
    ]
    columns = ("proxy", "name", "digest", "slowness", "confirmed alive s ago", "blocked paths")
    summary = "one view" if len(digests) == 1 else f"{len(digests)} views"
    print_result({"same": len(digests) == 1, "views": views}, json_, [*format_table(columns, rows), summary])
    sys.exit(int(len(digests) > 1 or any(view["vouched_ms"] is None for view in views.values())))
