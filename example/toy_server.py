"""Runs a toy setup server and notice board: every call is established at once and ends after one second.

Start this first, then the proxy (NODE_CONFIG=example/config.json), then example/call.py.
"""

from leadslip.cli.toy import serve_on_example_ports

serve_on_example_ports()
