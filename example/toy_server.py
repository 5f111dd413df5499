"""Runs a toy setup server and notice board: calls are established at once and end after one second.

Start this first, then the proxy (NODE_CONFIG=example/config.json), then example/call.py.
"""

from leadslip.cli.toy import serve_on_example_ports

serve_on_example_ports()
