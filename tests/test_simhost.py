"""The simulator adapter on hand-written batches of its line protocol."""

import io
import re

import pytest

from leadslip import simhost

# Some keys and load values here, such as brand_new and novelty, are unknown to the adapter, which must ignore them.
SETTINGS = (
    "balancers=3 index=1 services.count=1 services.0.name=plain services.0.gain=1 services.0.aim_ms=1000 "
    "services.0.deadline_ms=5000 services.0.brand_new=7 limits.most_tries=3 limits.cancel=true tick_ms=5 "
    "obligations.cold_from=0.4 obligations.warm_after_ms=9000 obligations.tip_multiple=2 "
    "obligations.tip_after_ms=2000 extra.guard_ms=200 extra.allowed_pools.count=1 "
    "extra.allowed_pools.0=0,1 load_report.fields=idle,circuits,avg_ms,novelty surprise=yes"
)
START = f"""ROUND t_ms=1000.0
SWITCH_TO gateway_id=gateway/1
BOOT salt=51 conf_extra=1 {SETTINGS}
LIST buffer=3 items=2
ENTRY switch=10.0.0.1:70 node_no=0 mode=2 nominal=1
ENTRY switch=10.0.0.2:70 node_no=1 mode=2 nominal=1 oddity=4
TARGETS kind=1 gen=4 buffer=3
EOF_BATCH
"""
CALL = """ROUND t_ms=1100.25
SWITCH_TO gateway_id=gateway/1
REQ txn=r-a valid_until_ms=4000.0 circuits=1 destination=1 tier_class=plain route_key=dn.x news=1
EOF_BATCH
"""


def run_lines(text: str) -> tuple[int, str, str]:
    out, err = io.StringIO(), io.StringIO()
    code = simhost.run(io.StringIO(text), out, err)
    return code, out.getvalue(), err.getvalue()


def batch(*lines: str, t_ms: float = 1200.0) -> str:
    return "\n".join([f"ROUND t_ms={t_ms}", "SWITCH_TO gateway_id=gateway/1", *lines, "EOF_BATCH", ""])


def test_an_empty_batch_gets_an_empty_reply():
    assert run_lines("ROUND t_ms=1\nEOF_BATCH\n") == (0, "DONE\n", "")


def test_a_call_is_sent_to_its_first_choice():
    code, out, err = run_lines(START + CALL)
    assert (code, err) == (0, "")
    # The first timer expires at a random time within one interval.
    assert 0.0 <= float(re.search(r"offset_ms=([0-9.]+) ctx=interval", out).group(1)) <= 500.0
    assert re.sub(r"offset_ms=[0-9.]+", "offset_ms=T", out).splitlines() == [
        "INSTANCE gateway_id=gateway/1",
        "WAKE_ME offset_ms=T ctx=interval",
        "DONE",
        "INSTANCE gateway_id=gateway/1",
        "HAND_OFF txn=r-a switch=10.0.0.2:70 cut_at_ms=3990.000",
        "DONE",
    ]


def test_a_call_refused_by_a_full_server_is_sent_to_the_other():
    verdict = (
        "VERDICT txn=r-a go=0 switch=10.0.0.2:70 reason=turned_away time_taken_ms=9 cause=19 stats=5,9,800,1"
    )
    code, out, _ = run_lines(START + CALL + batch(verdict))
    assert code == 0
    assert "HAND_OFF txn=r-a switch=10.0.0.1:70" in out


def test_every_event_is_parsed():
    code, out, err = run_lines(
        START
        + CALL
        + batch(
            "BEGUN txn=r-a switch=10.0.0.2:70 go=0 time_taken_ms=20",
            "ECHO switch=10.0.0.1:70 reason=served time_taken_ms=0 stats=4,9,-1,-1",
            "NEIGHBOUR_SAYS src_peer=2 msg=68692037",
            "NEIGHBOUR_SAYS src_peer=2 msg=-",
            "VERDICT txn=r-a go=0 switch=10.0.0.2:70 reason=served time_taken_ms=8 done_flag=1 stats=5,9,0,0",
            "VANISHED txn=r-a",
            "BELL ctx=interval",
            "TARGETS kind=0 gen=4 buffer=0",
            "DESTROY",
        )
    )
    assert (code, err) == (0, "")
    assert out.endswith("DONE\n")


def test_a_destroyed_gateway_starts_again_without_state():
    restart = START.replace("1000.0", "1300.0")
    code, out, _ = run_lines(START + CALL + batch("DESTROY") + restart + CALL.replace("1100.25", "1400.0"))
    assert code == 0
    assert out.count("HAND_OFF") == 2


@pytest.mark.parametrize(
    ("line", "error"),
    [
        ("REQ txn=r-b destination=1 tier_class=plain", "valid_until_ms is missing"),
        ("REQ txn=r-b valid_until_ms=soon tier_class=plain", "valid_until_ms is no number"),
        ("REQ txn=r-b valid_until_ms=nan tier_class=plain", "valid_until_ms is no number"),
        ("REQ txn=r-b nonsense", "field is not name=value"),
        ("HOWDY txn=r-b", "unknown message type"),
        ("VERDICT txn=r-a go=0 switch=x reason=weird time_taken_ms=1", "reason is unknown"),
        ("VERDICT txn=r-a go=0.5 switch=x reason=served time_taken_ms=1", "go is no whole number"),
        ("TARGETS kind=3 gen=4 buffer=9", "buffer is unknown"),
        ("ENTRY switch=a node_no=0 mode=2", "entry outside a list"),
        ("NEIGHBOUR_SAYS src_peer=0 msg=xyz", "msg must be hexadecimal"),
        ("LIST buffer=0 items=2", "list is short: 2 more ENTRY lines"),
        ("SWITCH_TO gateway_id=gateway/7\nBELL ctx=interval", "gateway not started"),
        ("SWITCH_TO gateway_id=gateway/7\nBOOT salt=1 balancers=2", "is missing"),
    ],
)
def test_a_malformed_line_is_reported_and_ends_the_process(line, error):
    code, _, err = run_lines(START + batch(line))
    assert code == 2
    assert error in err and "line " in err
    assert len(err.splitlines()) == 1


def test_input_that_ends_within_a_batch_is_an_error():
    code, _, err = run_lines("ROUND t_ms=1\n")
    assert code == 2 and "ended within a batch" in err


def test_an_exception_of_the_controller_is_reported_with_its_text(monkeypatch):
    def fail(self, now_ms, event):
        raise RuntimeError("two\nlines")

    monkeypatch.setattr(simhost.Controller, "handle", fail)
    code, out, err = run_lines(START)
    assert code == 0
    assert "INTERNAL_ERROR what=RuntimeError: two lines" in out
    assert "Traceback" in err


def test_settings_out_of_range_are_reported_as_an_error():
    code, out, _ = run_lines(
        START.replace("limits.most_tries=3", "limits.most_tries=0").split("LIST")[0] + "EOF_BATCH\n"
    )
    assert code == 0
    assert "INTERNAL_ERROR what=SettingsError: max_attempts" in out
