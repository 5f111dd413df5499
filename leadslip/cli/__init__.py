"""The `leadslip` command: one module for each group of commands, imported when it is asked for."""

from __future__ import annotations

import importlib
import sys

import click

from leadslip.errors import OperatorError

GROUPS = {  # name -> module, object, what it does; the modules load what they need, so help stays quick
    "run": ("run", "run", "Run one proxy, as its configuration says."),
    "demo": ("demo", "demo", "Show calls through a proxy and a stand-in server, without any file."),
    "configure": ("configure", "configure", "Write and check the configuration of each application."),
    "fleet": ("fleet", "fleet", "Show the fleet as proxies see it."),
    "lab": ("lab", "lab", "Play many members of a fleet on a virtual clock."),
    "drill": ("drill", "drill", "Break several processes in seeded ways, and check their histories."),
    "trunks": ("trunks", "trunks", "Dimension trunk groups, and report what was measured of them."),
}


class Lazy(click.Group):
    """A group whose commands are imported one at a time."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return list(GROUPS)

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        if name not in GROUPS:
            return None
        module, held, _ = GROUPS[name]
        return getattr(importlib.import_module(f"leadslip.cli.{module}"), held)

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        with formatter.section("Commands"):
            formatter.write_dl([(name, told) for name, (_, _, told) in GROUPS.items()])


@click.command(cls=Lazy, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="leadslip")
def leadslip() -> None:
    """A signalling proxy beside an application: sets calls up at shared servers, and decides what they can take."""


def main(arguments: list[str] | None = None) -> None:
    """Run the command; what is wrong with its words is told in one line, with exit code 2."""
    try:
        code = leadslip.main(arguments, prog_name="leadslip", standalone_mode=False)
    except click.exceptions.NoArgsIsHelpError as asked:
        click.echo(asked.format_message(), err=True)
        code = 2
    except click.ClickException as fault:
        click.echo(f"leadslip: {' '.join(fault.format_message().split())}", err=True)
        code = fault.exit_code
    except OperatorError as fault:
        click.echo(f"leadslip: {' '.join(fault.line().split())}", err=True)
        code = 2
    except click.Abort:
        code = 130
    sys.exit(code if isinstance(code, int) else 0)
