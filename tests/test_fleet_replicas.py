"""Replication: convergence in any order of messages, stable placement, catch-up, recovery, location of calls."""

import random
from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from leadslip.fleet.replicas.member import ESTABLISHED, LEARNED, Replicas
from leadslip.fleet.replicas.placement import holders_of
from leadslip.fleet.replicas.table import BUCKETS, Record, Table, bucket_of
from leadslip.fleet.view.members import Member
from leadslip.lab.replicated import SimulatedReplication

repeatable = settings(derandomize=True, max_examples=150, deadline=None)
CHANGES = st.lists(st.tuples(st.integers(0, 8), st.booleans()), max_size=40)


def history(changes):
    """An owner's table after changes of calls, its log, and the content of the table after each change.

    `changes` are pairs: the number of a call, and whether it is established or ends.
    """
    owner, log, after = Table(fresh=True), [], []
    for number, (key, established) in enumerate(changes, 1):
        record = Record(number, ESTABLISHED, f"c{key}", f"s{number}".encode() if established else None)
        owner.apply([record])
        log.append(record)
        after.append({k: v for b in owner.buckets for k, v in b.records.items()})
    return owner, log, after


def full_bucket(table, index):
    """The arguments of `Table.merge` for a bucket."""
    bucket = table.buckets[index]
    return (
        index,
        table.sequence_of(index),
        [(kind, key, state) for (kind, key), state in bucket.records.items()],
    )


@repeatable
@given(CHANGES, st.randoms(use_true_random=False))
def test_any_order_of_buckets_and_batches_late_or_repeated_gives_the_owners_table(changes, rng):
    # At each step a replica has the owner's records as of its sequence number, and at last the owner's table.
    owner, log, after = history(changes)
    early, _, _ = history(changes[: len(changes) // 2])
    messages = [
        ("bucket", full_bucket(table, index)) for table in (early, owner) for index in range(BUCKETS)
    ] * 2
    messages += [("batch", log[start : start + 5]) for start in range(0, len(log), 3)] * 3
    rng.shuffle(messages)
    replica = Table()
    for kind, content in messages:
        if kind == "bucket":
            replica.merge(*content)
            if not replica.missing_buckets():
                replica.start_applying()
        elif replica.is_complete():
            replica.apply(content)
        if replica.is_complete() and replica.applied:
            known = [bucket.sequence <= replica.applied for bucket in replica.buckets]
            actual = {k: v for b in replica.buckets for k, v in b.records.items() if known[bucket_of(*k)]}
            expected = {k: v for k, v in after[replica.applied - 1].items() if known[bucket_of(*k)]}
            assert actual == expected, "the table is the same everywhere at one sequence number"
    for index in range(BUCKETS):
        replica.merge(*full_bucket(owner, index))
    replica.start_applying()
    replica.apply(log)
    assert replica.applied == owner.applied and replica.digest() == owner.digest()


@repeatable
@given(CHANGES, st.randoms(use_true_random=False))
def test_merging_buckets_is_commutative_associative_and_idempotent(changes, rng):
    versions = [history(changes[:end])[0] for end in range(0, len(changes) + 1, 7)]
    buckets = [full_bucket(table, index) for table in versions for index in range(BUCKETS)]
    digests = set()
    for _ in range(3):
        rng.shuffle(buckets)
        replica = Table()
        for bucket in buckets + buckets[:20]:
            replica.merge(*bucket)
        digests.add(replica.digest())
    assert digests == {versions[-1].digest()}


def test_a_gap_is_refused_and_an_ended_call_stays_ended():
    _, log, _ = history([(1, True), (2, True), (1, False)])
    replica = Table(fresh=True)
    assert replica.apply(log[:1]) and not replica.apply(log[2:]) and replica.applied == 1
    assert replica.apply(log) and replica.get(ESTABLISHED, "c1") is None
    assert replica.apply(log[:2]) and replica.get(ESTABLISHED, "c1") is None, (
        "repeated changes have no effect"
    )


def member(name, zone):
    return Member(1 << 20, name, f"{name}:1", zone)


def test_holders_are_in_another_zone_first_and_one_loss_moves_few_replicas():
    """Guards against replicas that are lost with their owner's zone, and against mass copying when a member ends."""
    members = [member(f"p{i:03d}", f"z{i % 3}") for i in range(200)]
    before = {owner.name: holders_of(owner.name, owner.zone, members, 2) for owner in members}
    for owner in members:
        assert before[owner.name][0].zone != owner.zone and owner not in before[owner.name]
    held_counts = Counter(holder.name for holders in before.values() for holder in holders)
    assert max(held_counts.values()) < 12, "no member holds many more than the average of two"
    gone = members[17]
    remaining = [owner for owner in members if owner is not gone]
    moved = required = 0  # replicas that get a new holder; those whose holder is gone
    for owner in remaining:
        new_holders = holders_of(owner.name, owner.zone, remaining, 2)
        required += gone in before[owner.name]
        moved += len({holder.name for holder in new_holders} - {holder.name for holder in before[owner.name]})
    assert required <= moved <= 1.2 * required


def test_every_table_has_two_equal_replicas_in_two_zones():
    lab = SimulatedReplication(1, 8)
    lab.fleet.run(4000.0)
    assert lab.settle_replicas() < 2000.0
    assert lab.resurrected_calls() == [] and lab.calls > 60


def kill_member(lab, name, for_ms=3000.0):
    """Kill a member and run for a while; returns the calls that were established there."""
    calls = dict(lab.established[name])
    lab.kill(name)
    lab.fleet.run(for_ms)
    return calls


def test_a_process_restarted_without_state_recovers_its_calls_and_rates_and_reports_behind_until_then():
    lab = SimulatedReplication(2, 8)
    owner = lab.fleet.hosts["p03"].replicas
    owner.put(LEARNED, "rates", b"r")
    lab.fleet.run(3000.0)
    lab.settle_replicas()
    calls = kill_member(lab, "p03")
    host = lab.start("p03")
    assert host.replicas.recovery_pending(host.now_ms)
    lab.call_probability = 0.0
    assert lab.fleet.run_until(lambda: not host.replicas.recovery_pending(host.now_ms), 8000.0) < 3000.0
    assert {key: state.decode() for key, state in host.recovered[ESTABLISHED].items()} == calls and calls
    assert host.recovered[LEARNED] == {"rates": b"r"}
    assert lab.settle_replicas() < 4000.0
    assert not [
        replica
        for other in lab.fleet.hosts.values()
        for replica in other.replicas.held_replicas.values()
        if replica.owner_gone_ms < 9e9
    ]


def test_any_proxy_locates_a_call_of_a_killed_proxy_but_not_a_call_that_no_member_knows():
    lab = SimulatedReplication(3, 8)
    lab.fleet.run(3000.0)
    lab.settle_replicas()
    calls = kill_member(lab, "p02")
    found = {}
    for i, call in enumerate([*calls, "f" * 16]):
        host = lab.fleet.hosts[lab.names[3 + i % 5]]
        host.replicas.locate(host.now_ms, call, lambda server, call=call: found.setdefault(call, server))
        host.flush()
        lab.fleet.run(400.0)
    assert found == calls | {"f" * 16: ""} and calls


def test_a_holder_far_behind_is_sent_full_buckets_and_resumes_after_an_interruption():
    lab = SimulatedReplication(4, 6)
    lab.call_probability = 0.0
    for _ in range(3000):
        lab.begin_call("p01")
    lab.fleet.run(300.0)
    run = lab.fleet.hosts["p01"].view.run
    behind = next(host for host in lab.fleet.hosts.values() if run in host.replicas.held_replicas)
    lab.fleet.run_until(
        lambda: 0 < len(behind.replicas.held_replicas[run].table.missing_buckets()) < BUCKETS, 4000.0
    )
    others = [name for name in lab.names if name != behind.name]
    lab.fleet.partition([behind.name], others)
    lab.fleet.run(800.0)
    lab.fleet.heal()
    assert lab.settle_replicas(20_000.0) < 20_000.0


def test_two_live_processes_of_one_name_are_two_owners():
    """During an upgrade the new process must not adopt the calls of the old one, which still serves them."""
    lab = SimulatedReplication(5, 6)
    lab.fleet.run(2000.0)
    lab.fleet.hosts.pop("p04")
    new = lab.start("p04", address="p04-new:7946")
    lab.fleet.run(3000.0)
    assert new.recovered == {} and not new.replicas.recovery_pending(new.now_ms), (
        "the table of a live process is not recovered by another"
    )


@pytest.mark.parametrize("seed", range(5))
def test_ended_calls_stay_ended_and_replicas_converge_under_random_faults(seed):
    """R1 and R3 (drill/check.py) while calls begin and end, under random kills with restart, stalls, partitions,
    loss and duplicated datagrams; at last every owner has all its established calls again (R2, R4).
    """
    lab = SimulatedReplication(50 + seed, 8)
    rng = random.Random(seed)
    for _ in range(15):
        match rng.choice(("kill", "stall", "halves", "loss", "twice")):
            case "kill":
                name = rng.choice(list(lab.fleet.hosts))
                lab.kill(name)
                lab.fleet.run(rng.uniform(0.0, 3000.0))
                lab.start(name)
                # Until recovery no holder may be killed.
                lab.fleet.run_until(lambda name=name: lab.has_all_calls(name), 6000.0)
            case "stall":
                lab.fleet.hosts[rng.choice(list(lab.fleet.hosts))].stall(rng.uniform(300.0, 10_000.0))
            case "halves":
                half = rng.sample(lab.names, 4)
                lab.fleet.partition(half, [name for name in lab.names if name not in half])
                lab.fleet.run(rng.uniform(200.0, 6000.0))
                lab.fleet.heal()
            case "loss":
                lab.fleet.network.conditions.loss_rate = rng.choice((0.0, 0.05, 0.3))
            case "twice":
                lab.fleet.network.conditions.duplicate_rate = rng.choice((0.0, 0.3))
        lab.fleet.run(rng.uniform(0.0, 1500.0))
    lab.fleet.network.conditions.loss_rate = 0.0
    assert lab.fleet.run_until(lab.fleet.converged, 30_000.0) < 30_000.0
    assert lab.settle_replicas(30_000.0) < 30_000.0
    assert not [event for event in lab.logged if event[0] == "replicas.differs"]
    assert lab.fleet.run_until(lambda: all(map(lab.has_all_calls, lab.names)), 5000.0) < 5000.0, (
        "every established call is known to its owner"
    )
    lab.call_probability = 0.0
    lab.fleet.run(12_000.0)
    assert lab.settle_replicas(5000.0) < 5000.0 and lab.resurrected_calls() == []


class DropsEnds(Replicas):
    """A faulty variant that does not record the end of a call."""

    def put(self, kind, key, state):
        if state is not None:
            super().put(kind, key, state)


def test_an_end_that_is_not_replicated_is_detected():
    """Checks the checker: `resurrected_calls` has to report a program that violates R1."""
    lab = SimulatedReplication(9, 6, replicas_class=DropsEnds)
    lab.fleet.run(4000.0)
    lab.settle_replicas()
    assert lab.resurrected_calls(), "the violation of R1 is reported"
