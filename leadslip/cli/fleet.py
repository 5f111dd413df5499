"""leadslip fleet: what a proxy holds of its fleet."""

from __future__ import annotations

import http.client
import json
import sys
import time

import click

from leadslip.cli.told import as_json, table, tell


def asked(ops: str, path: str) -> dict:
    """The answer of a proxy's operators' address; ends the command with 2 where there is none."""
    host, _, port = ops.rpartition(":")
    try:
        link = http.client.HTTPConnection(host, int(port), timeout=5.0)
        link.request("GET", path)
        answer = link.getresponse()
        body = answer.read()
    except (OSError, ValueError, http.client.HTTPException) as fault:
        raise click.UsageError(f"{ops} can't be asked: {fault}") from fault
    if answer.status == 404:
        raise click.UsageError(f"{ops}: the fleet is off there")
    if answer.status != 200:
        raise click.UsageError(f"{ops} answers {answer.status}")
    return json.loads(body)


ops = click.option("--ops", required=True, metavar="ADDRESS", help="The operators' address of a proxy.")


@click.group()
def fleet() -> None:
    """The fleet as a proxy sees it."""


def rows_of(told: dict) -> list[str]:
    rows = [
        (
            one["name"],
            one["run"],
            one["address"],
            one["zone"],
            one["state"] + ("" if one["way"] == "straight" else " (through others)"),
            round(one["since_ms"] / 1000.0, 1),
        )
        for one in told["members"]
    ]
    return table(("name", "run", "address", "zone", "state", "for s"), rows)


@fleet.command()
@ops
@as_json
def members(ops: str, json_: bool) -> None:
    """Who is there."""
    told = asked(ops, "/control/fleet")
    live = sum(one["state"] in ("alive", "suspect") for one in told["members"])
    tell(told, json_, [*rows_of(told), f"{live} live; digest {told['digest']}"])


@fleet.command()
@ops
@click.option(
    "--every", "every_s", type=float, default=1.0, show_default=True, help="Seconds between two looks."
)
@click.option("--looks", type=int, default=0, help="So many looks; 0: until interrupted.")
def watch(ops: str, every_s: float, looks: int) -> None:
    """Show the view again and again, with what has changed."""
    before: dict[str, str] = {}
    done = 0
    while not looks or done < looks:
        told = asked(ops, "/control/fleet")
        now = {f"{one['name']} {one['run']}": one["state"] for one in told["members"]}
        if done == 0:
            for line in rows_of(told):
                click.echo(line)
        for key in sorted(before.keys() | now.keys()):
            if done and before.get(key) != now.get(key):
                click.echo(
                    f"{time.strftime('%H:%M:%S')} {key}: {before.get(key, '-')} -> {now.get(key, 'forgotten')}"
                )
        before, done = now, done + 1
        if not looks or done < looks:
            time.sleep(every_s)


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
