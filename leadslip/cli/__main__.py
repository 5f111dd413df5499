"""python -m leadslip.cli: the same as the installed command."""

from leadslip.cli import main

main()
