"""The `leadslip` command line: each command group lives in its own module, which is imported on demand."""

from __future__ import annotations

import importlib
import sys

import click

from leadslip.errors import OperatorError

GROUPS = {  # name -> module, attribute, help text; modules are imported on demand to keep --help fast
    "run": ("run", "run", "Run one proxy with the given configuration."),
    "demo": ("demo", "demo", "Place demo calls through a proxy and a toy setup server; needs no files."),
    "configure": ("configure", "configure", "Write and check the configuration files of applications."),
    "fleet": ("fleet", "fleet", "Show the fleet membership as seen by proxies."),
    "lab": ("lab", "lab", "Simulate a large fleet on a virtual clock."),
    "drill": ("drill", "drill", "Inject seeded faults into several processes and check their histories."),
    "trunks": ("trunks", "trunks", "Dimension trunk groups and report their measured traffic."),
}


class LazyGroup(click.Group):
    """A command group that imports the module of a command only when the command is looked up."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return list(GROUPS)

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        if name not in GROUPS:
            return None
        module, attribute, _ = GROUPS[name]
        return getattr(importlib.import_module(f"leadslip.cli.{module}"), attribute)

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        with formatter.section("Commands"):
            formatter.write_dl([(name, help_text) for name, (_, _, help_text) in GROUPS.items()])


@click.command(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="leadslip")
def leadslip() -> None:
    """Signalling proxy that sets up calls at shared setup servers and limits the load it sends to them."""


def main(arguments: list[str] | None = None) -> None:
    """Run the command; usage and operator errors are printed on one line and exit with code 2."""
    try:
        code = leadslip.main(arguments, prog_name="leadslip", standalone_mode=False)
    except click.exceptions.NoArgsIsHelpError as help_request:
        click.echo(help_request.format_message(), err=True)
        code = 2
    except click.ClickException as error:
        click.echo(f"leadslip: {' '.join(error.format_message().split())}", err=True)
        code = error.exit_code
    except OperatorError as error:
        click.echo(f"leadslip: {' '.join(error.line().split())}", err=True)
        code = 2
    except click.Abort:
        code = 130
    sys.exit(code if isinstance(code, int) else 0)
