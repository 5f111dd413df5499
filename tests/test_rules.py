"""The five rules that each gateway must keep on its own, and edge cases.

1: one final answer per call, in time. 2: one attempt of a call at a time, and a limited number of attempts. 3: no
set-ups to servers that drain or are gone. 4: a server in slow start gets only part of its normal traffic. 5: a retry
waits for the release of the attempt before it.
"""

import pytest

from leadslip import interface
from leadslip.controller import INTERVAL_MS, Controller
from tests.helpers import Gateway, entry, final_answers, set_ups, settings

RELEASE_WAIT_OUTCOMES = ["timed_out", "cut", "withdrawn"]


def answers(gateway: Gateway, call: str) -> list:
    return [
        action
        for _, action in gateway.log
        if isinstance(action, interface.Refuse | interface.Fail) and action.call == call
    ]


def test_rule_1_an_unanswered_call_times_out_before_its_deadline_and_fails_once():
    gateway = Gateway()
    (sent,) = set_ups(gateway.call(valid_for_ms=2000.0))
    assert sent.timeout_at_ms < gateway.now_ms + 2000.0
    gateway.wait(sent.timeout_at_ms - gateway.now_ms)
    gateway.end_attempt(sent, "timed_out")
    gateway.wait(3000.0)
    assert answers(gateway, "c1") == [interface.Fail("c1")]
    assert [action for _, action in gateway.log if isinstance(action, interface.SetUp)] == [sent]


def test_rule_1_nothing_follows_a_call_that_has_ended():
    gateway = Gateway()
    (sent,) = set_ups(gateway.call())
    gateway.handle(interface.CallerLeft("c1"))
    assert not gateway.end_attempt(sent, "timed_out", call_over=True)
    gateway.handle(interface.CallerLeft("c1"))
    gateway.wait(1000.0)
    assert not answers(gateway, "c1")


def test_rule_1_an_established_call_gets_no_answer_of_the_gateway():
    gateway = Gateway()
    (sent,) = set_ups(gateway.call())
    gateway.establish(sent, 30.0)
    gateway.wait(5000.0)
    gateway.end_attempt(sent, "served", call_over=True)
    assert not answers(gateway, "c1")
    assert not gateway.controller.calls


@pytest.mark.parametrize("outcome", ["full", "no_connection", "not_sent", "error", *RELEASE_WAIT_OUTCOMES])
def test_rule_2_one_attempt_at_a_time_and_at_most_max_attempts(outcome):
    gateway = Gateway(6)
    open_attempts = 0
    sent_now = set_ups(gateway.call(valid_for_ms=5000.0))
    tries = 0
    while sent_now:
        (sent,) = sent_now
        open_attempts += 1
        assert open_attempts == 1
        tries += 1
        assert not set_ups(gateway.wait(10.0))
        open_attempts -= 1
        sent_now = set_ups(gateway.end_attempt(sent, outcome, attempt=tries - 1)) or set_ups(
            gateway.wait(400.0)
        )
    assert 1 < tries <= 4
    assert len(answers(gateway, "c1")) == 1


@pytest.mark.parametrize("state", ["draining", "gone"])
def test_rule_3_nothing_new_to_a_draining_or_gone_server(state):
    gateway = Gateway()
    gateway.handle(interface.ServerListUpdate(interface.UpdateKind.CHANGES, (entry("s0", 0, state),)))
    for _ in range(20):
        gateway.wait(50.0)
        assert all(sent.server == "s1" for sent in set_ups(gateway.call(destination=0)))


def test_rule_3_a_server_absent_from_a_snapshot_gets_no_set_ups():
    gateway = Gateway()
    gateway.handle(interface.ServerListUpdate(interface.UpdateKind.SNAPSHOT, (entry("s1", 1),)))
    assert set_ups(gateway.call(destination=0))[0].server == "s1"


@pytest.mark.parametrize("as_new_id", [False, True])
def test_rule_4_a_cold_server_gets_a_fraction_of_the_calm_rate_evenly(as_new_id):
    gateway = Gateway()
    gateway.serve(30, per_s=8.0)
    name = "s7" if as_new_id else "s0"
    online_since_ms = 0.0 if as_new_id else gateway.now_ms
    gateway.handle(
        interface.ServerListUpdate(
            interface.UpdateKind.SNAPSHOT, (entry(name, 0, online_since_ms=online_since_ms), entry("s1", 1))
        )
    )
    sent_to_cold = 0
    for _ in range(80):
        for sent in set_ups(gateway.wait(25.0)) + set_ups(gateway.call(destination=0)):
            sent_to_cold += sent.server == name
            gateway.establish(sent, 30.0)
    # Two seconds at a calm rate of 4 a second: 8 for a warm server, for a cold one 0.4 to 0.52 of that and a few more.
    assert 2 <= sent_to_cold <= 7


def test_rule_4_a_restarted_gateway_sends_little_to_a_cold_server():
    gateway = Gateway(servers=0)
    online_since_ms = gateway.now_ms - 100.0
    gateway.handle(
        interface.ServerListUpdate(
            interface.UpdateKind.CACHED, (entry("s0", 0, online_since_ms=online_since_ms),)
        )
    )
    sent = 0
    for _ in range(40):
        gateway.wait(10.0)
        sent += len(set_ups(gateway.call(destination=0)))
    assert sent <= 1


@pytest.mark.parametrize("outcome", RELEASE_WAIT_OUTCOMES)
def test_rule_5_a_retry_waits_for_the_release(outcome):
    gateway = Gateway()
    (sent,) = set_ups(gateway.call())
    gateway.wait(100.0)
    ended_at = gateway.now_ms
    gateway.end_attempt(sent, outcome)
    assert not set_ups(gateway.wait(249.0))
    (retry,) = set_ups(gateway.wait(50.0))
    assert retry.server == "s1"
    times = [when for when, action in gateway.log if action == retry]
    assert times[0] - ended_at >= 250.0


def test_rule_5_a_call_without_time_to_wait_fails_at_once():
    gateway = Gateway()
    (sent,) = set_ups(gateway.call(valid_for_ms=300.0))
    gateway.wait(200.0)
    assert gateway.end_attempt(sent, "withdrawn")[-1] == interface.Fail("c1")


def test_a_busy_number_is_not_retried_at_another_server():
    gateway = Gateway()
    (sent,) = set_ups(gateway.call())
    actions = gateway.end_attempt(sent, "error", cause=interface.Cause.NUMBER_BUSY)
    assert final_answers(actions) and not set_ups(actions)


def test_a_call_that_may_have_run_is_not_repeated_unless_its_class_permits():
    once = interface.CallClass("once", 1.0, 0.0, 1000.0, 5000.0, interface.Repeat.ONCE)
    gateway = Gateway(classes=(once,))
    (sent,) = set_ups(gateway.call(call_class="once"))
    gateway.end_attempt(sent, "timed_out")
    gateway.wait(2000.0)
    assert answers(gateway, "c1") == [interface.Fail("c1")]
    (sent,) = set_ups(gateway.call(call_class="once"))
    assert set_ups(gateway.end_attempt(sent, "full"))


def test_calls_are_answered_in_time_when_the_server_list_is_empty():
    gateway = Gateway(servers=0)
    gateway.call(valid_for_ms=2000.0)
    gateway.wait(1990.0)
    assert len(answers(gateway, "c1")) == 1


def test_calls_of_an_unknown_class_or_of_one_without_servers_are_answered():
    unserved = interface.CallClass("lonely", 1.0, 0.0, 1000.0, 5000.0, allowed_pools=(9,))
    gateway = Gateway(classes=(unserved,))
    gateway.call(call_class="lonely", valid_for_ms=2000.0)
    gateway.call(call_class="never heard of", valid_for_ms=2000.0)
    gateway.wait(1990.0)
    assert len(answers(gateway, "c1")) == len(answers(gateway, "c2")) == 1


def test_events_of_unknown_calls_and_servers_are_ignored():
    gateway = Gateway()
    gateway.handle(interface.CallerLeft("ghost"))
    gateway.handle(interface.CallEstablished("ghost", "s0", 0, 10.0))
    gateway.handle(interface.AttemptEnded("ghost", "nowhere", 3, interface.Outcome.CUT, 10.0))
    gateway.handle(interface.LoadReported("nowhere", interface.Outcome.SERVED, 0.0, interface.Load()))
    gateway.handle(interface.TimerDue("ghost"))
    gateway.handle(interface.PeerMessage(2, b"hello"))
    assert not [action for _, action in gateway.log if not isinstance(action, interface.SetTimer)]


def test_the_list_subscription_is_renewed_after_a_failure():
    controller = Controller(settings(list_on_request=True), 1)
    first = controller.handle(0.0, interface.ServerListUpdate(interface.UpdateKind.CACHED, (entry("s0", 0),)))
    assert interface.SubscribeList() in first
    controller.handle(10.0, interface.ServerListUpdate(interface.UpdateKind.FAILED))
    assert interface.SubscribeList() in controller.handle(10.0 + INTERVAL_MS, interface.TimerDue("list"))
    assert "s0" in controller.servers


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("gateways", 0),
        ("classes", ()),
        ("max_attempts", 0),
        ("cold_fraction", 0.0),
        ("warm_after_ms", -1.0),
        ("push_multiple", 0.0),
        ("release_wait_ms", -5.0),
        ("tick_ms", 0.0),
    ],
)
def test_settings_out_of_range_are_reported_by_field_name(field, value):
    with pytest.raises(ValueError, match=field):
        Controller(settings(**{field: value}), 1)


def test_a_busy_number_gets_only_spaced_trial_calls():
    gateway = Gateway()
    (sent,) = set_ups(gateway.call(number_called="n"))
    gateway.end_attempt(sent, "error", cause=interface.Cause.NUMBER_BUSY)
    trials = 0
    for _ in range(100):
        gateway.wait(100.0)
        for trial in set_ups(gateway.call(number_called="n")):
            trials += 1
            gateway.end_attempt(trial, "error", cause=interface.Cause.NUMBER_BUSY)
        (other,) = set_ups(gateway.call(number_called="other"))
        gateway.establish(other, 30.0)
    assert 4 <= trials <= 6
    gateway.wait(2000.0)
    (trial,) = set_ups(gateway.call(number_called="n"))
    gateway.establish(trial, 30.0)
    assert set_ups(gateway.call(number_called="n")) and set_ups(gateway.call(number_called="n"))


def test_a_gateway_restarted_among_cold_servers_learns_rates_and_sends_a_little():
    gateway = Gateway(servers=0)
    online_since_ms = gateway.now_ms - 100.0
    gateway.handle(
        interface.ServerListUpdate(
            interface.UpdateKind.CACHED,
            (
                entry("s0", 0, online_since_ms=online_since_ms),
                entry("s1", 1, online_since_ms=online_since_ms),
            ),
        )
    )
    sent = 0
    for i in range(50):
        for action in set_ups(gateway.wait(100.0)) + set_ups(gateway.call(destination=i % 2)):
            sent += 1
            gateway.establish(action, 30.0)
    # Ten calls a second are offered for five seconds; the servers can take 0.4 to 0.7 of the 50.
    assert 8 <= sent <= 30


def test_a_refusal_may_overtake_and_does_not_show_earlier_set_ups_to_be_lost():
    gateway = Gateway(1)
    gateway.serve(10, per_s=8.0)
    gateway.call()
    gateway.wait(50.0)
    (late,) = set_ups(gateway.call())
    gateway.end_attempt(late, "full", cause=interface.Cause.NO_LINE, elapsed_ms=20.0)
    gateway.wait(1500.0)
    assert gateway.controller.servers["s0"].refusal_probability == 1.0


def fleet(gateways: int, servers: int, per_s: float, seconds: float) -> list[Gateway]:
    """Returns gateways that have each had light traffic to calm servers, with calls that name the servers in turn."""
    members = [Gateway(servers, seed=seed, gateways=gateways) for seed in range(gateways)]
    for gateway in members:
        gateway.serve(seconds, per_s=per_s)
    return members


def test_rule_4_hundreds_of_gateways_together_do_not_overload_a_cold_server():
    members = fleet(200, servers=4, per_s=2.0, seconds=20.0)
    for gateway in members:
        cold = entry("s0", 0, online_since_ms=gateway.now_ms)
        gateway.handle(interface.ServerListUpdate(interface.UpdateKind.CHANGES, (cold,)))
    sent = 0
    for gateway in members:  # for two seconds every call names the cold server, as after a mass restart
        for _ in range(8):
            for action in set_ups(gateway.wait(250.0)) + set_ups(gateway.call(destination=0)):
                sent += action.server == "s0"
    # A calm rate of 0.5 a second for each gateway makes 100 a second. A cold server can take 0.4 to 0.52 of that, and
    # for two seconds push_multiple (2) times 46 a second may be sent: 184. One token for each gateway would be 200.
    assert 20 <= sent <= 184


def test_calls_of_another_first_choice_reach_a_small_server_by_chance():
    members = fleet(200, servers=4, per_s=2.0, seconds=20.0)
    sent = 0
    for gateway in members:  # all but one server drain at once
        draining = tuple(entry(f"s{i}", i, "draining") for i in range(1, 4))
        gateway.handle(interface.ServerListUpdate(interface.UpdateKind.CHANGES, draining))
        for i in range(4):
            gateway.wait(250.0)
            sent += len(set_ups(gateway.call(destination=1 + i % 3)))
    # The calm rate of all gateways is 100 a second: in one second 1.7 times that may be sent, and once more as much as
    # the depth of the token buckets, instead of one set-up by each gateway at once.
    assert 50 <= sent <= 340


def test_a_fraction_of_the_calls_to_a_busy_number_is_sent_as_trials():
    members = fleet(100, servers=2, per_s=2.0, seconds=10.0)
    trials = 0
    for gateway in members:
        (sent,) = set_ups(gateway.call(destination=1, number_called="n"))
        gateway.end_attempt(sent, "error", cause=interface.Cause.NUMBER_BUSY)
        gateway.wait(2000.0)
        trials += len(set_ups(gateway.call(destination=1, number_called="n")))
    # The retry time ends for all gateways at once: without the fraction a hundred trials would be sent.
    assert 5 <= trials <= 40


def test_a_silent_server_is_not_flooded_when_hundreds_of_samples_expire_together():
    members = fleet(200, servers=4, per_s=2.0, seconds=20.0)
    sent = 0
    for gateway in members:
        server = gateway.controller.servers["s0"]
        gateway.controller._record_sample(gateway.now_ms, server, 2000.0)
        # For six seconds every call names the silent server: 2400 calls, which it never answers.
        for _ in range(12):
            gateway.wait(500.0)
            for action in set_ups(gateway.call(destination=0)):
                if action.server == "s0":
                    sent += 1
                else:
                    gateway.establish(action, 30.0)
    # Each gateway has a load value of the overload, which counts for three mean gaps of two seconds.
    assert sent <= 200
