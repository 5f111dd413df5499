"""Entry point of `python -m leadslip.cli`, equivalent to the installed `leadslip` command."""

from leadslip.cli import main

main()
