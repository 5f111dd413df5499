"""A toy setup server and notice board: every call stands at once and ends after a second.

Start it, then the proxy (NODE_CONFIG=example/config.json), then example/call.py.
"""

from leadslip.cli.toy import start_by_hand

start_by_hand()
