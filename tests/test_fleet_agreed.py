"""The agreement in a simulated fleet: bootstrap, learners, freshness of rules, voter changes, diverging replicas.

The simulation checks invariants A1 to A3 (drill/check.py): `violations` and `lost_changes` list what broke them.
"""

import random

import pytest

from leadslip.fleet.agreement.documents import RefusedError
from leadslip.fleet.agreement.member import ConflictError, NoAgreementError, Propose
from leadslip.lab.agreed import SimulatedAgreement


def assert_converged(lab, timeout_ms=20_000.0):
    """Waits until all members apply the newest revision; fails if that takes too long or an invariant was broken."""
    assert lab.fleet.run_until(lab.converged, timeout_ms) < timeout_ms, [
        (name, host.agreement.status(host.now_ms)) for name, host in lab.fleet.hosts.items()
    ]
    assert lab.violations == [] and lab.lost_changes() == []


def change_and_converge(lab, name, document, contents, id_):
    """Changes a document at a member and waits until all members apply it."""
    lab.change(name, document, contents, id_)
    assert lab.fleet.run_until(lambda: id_ in lab.acknowledged, 9000.0) < 9000.0, lab.rejections
    assert_converged(lab)


def bootstrapped(seed, members=7, **options):
    """Returns a simulated fleet whose revision 1 has fallback rules that bar prefix 9."""
    lab = SimulatedAgreement(seed, members, **options)
    assert_converged(lab)
    change_and_converge(lab, lab.names[-1], "isolated", {"bars": {"prefixes": ["9"]}}, "first")
    return lab


def test_voters_bootstrap_once_all_are_live_and_all_members_apply_a_change_made_anywhere():
    lab = bootstrapped(1)
    change_and_converge(lab, "p05", "bars", {"prefixes": ["900"]}, "bar")
    assert lab.acknowledged == {"first": 1, "bar": 2} and lab.rejections == []
    assert all(
        host.agreement.rules_in_effect(host.now_ms).documents["bars"].prefixes == ["900"]
        for host in lab.fleet.hosts.values()
    )
    assert lab.fleet.metrics.counts["agreement.founded"] == 3


def test_there_is_no_bootstrap_while_a_voter_is_missing():
    lab = SimulatedAgreement(2, 2)
    lab.fleet.run(10_000.0)
    assert not lab.leader_name() and not lab.fleet.metrics.counts.get("agreement.founded")


def test_a_refusal_and_a_conflict_reach_the_operator_at_any_member():
    lab = bootstrapped(3)
    lab.change("p06", "bars", {"prefixes": ["1"]}, "loose")
    lab.fleet.run(2000.0)
    lab.change("p06", "bars", {"prefixes": ["91"]}, "good")
    lab.fleet.run(2000.0)
    lab.change("p05", "bars", {"prefixes": ["92"]}, "late", expect=1)
    lab.fleet.run(2000.0)
    assert [type(error) for error in lab.rejections] == [RefusedError, ConflictError]
    assert "isolated.bars" in str(lab.rejections[0]) and lab.acknowledged["good"] == 2
    assert_converged(lab)


def test_a_partitioned_member_applies_the_fallback_rules_in_time_and_catches_up_on_its_return():
    lab = bootstrapped(4)
    others = [name for name in lab.names if name != "p06"]
    lab.fleet.partition(["p06"], others)
    lab.change("p03", "bars", {"prefixes": ["911"]}, "meanwhile")
    lab.fleet.run(lab.in_force_ms + 200.0)
    isolated_host = lab.fleet.hosts["p06"]
    rules = isolated_host.agreement.rules_in_effect(isolated_host.now_ms)
    assert not rules.agreed and rules.documents["bars"].prefixes == ["9"]
    lab.change("p06", "bars", {"prefixes": ["912"]}, "alone")
    lab.fleet.run(5000.0)
    assert [type(error) for error in lab.rejections] == [NoAgreementError]
    lab.fleet.heal()
    assert_converged(lab)


def test_a_long_document_is_fetched_in_chunks_and_resumed_elsewhere_when_its_source_dies():
    lab = bootstrapped(5)
    lab.change("p00", "isolated", {"bars": {"prefixes": ["9"], "destinations": list(range(25_000))}}, "long")
    lab.fleet.run_until(
        lambda: any(
            host.agreement.fetch and host.agreement.fetch.received for host in lab.fleet.hosts.values()
        ),
        9000.0,
    )
    learner = next(
        host for host in lab.fleet.hosts.values() if host.agreement.fetch and host.agreement.fetch.received
    )
    source = next(
        name for name, host in lab.fleet.hosts.items() if host.view.run == learner.agreement.fetch.run
    )
    if source != lab.leader_name():
        lab.fleet.kill(source)
    assert_converged(lab)
    assert len(learner.agreement.current.bodies["isolated"]) > 100_000


def test_a_voter_that_lost_its_disk_votes_again_once_its_new_id_is_in_the_list():
    lab = bootstrapped(6)
    name = next(voter for voter in lab.voters if voter != lab.leader_name())
    old_id = lab.disks[name][0]
    lab.fleet.kill(name)
    lab.fleet.run(8000.0)
    host = lab.start(name, blank=True)
    lab.fleet.run(4000.0)
    assert host.agreement.raft is None, "a voter that is not in the list does not vote"
    new_id = lab.disks[name][0]
    results = []
    other_ids = [id_ for id_, _, _ in lab.disks.values() if id_ != new_id]
    for i, ids in enumerate(([*other_ids, old_id, new_id], [*other_ids, new_id])):
        proposer = lab.fleet.hosts["p05"]
        proposer.agreement.propose(proposer.now_ms, Propose(f"voters {i}", None, ids), 8000.0, results.append)
        proposer.flush()
        lab.fleet.run(6000.0)
    assert host.agreement.raft is not None and sorted(host.agreement.raft.voters) == sorted(
        [*other_ids, new_id]
    ), results
    change_and_converge(lab, "p04", "bars", {"prefixes": ["93"]}, "after")


def replace_disk(lab, name):
    """Replaces a voter's disk as operators do: starts it with a blank one, adds its new id, removes the old one."""
    old_id = lab.disks[name][0]
    lab.fleet.kill(name)
    lab.fleet.run(8000.0)
    lab.start(name, blank=True)
    lab.fleet.run(4000.0)
    new_ids = sorted(id_ for id_, _, _ in lab.disks.values())
    proposer = lab.fleet.hosts["p05"]
    for number, ids in enumerate((sorted([*new_ids, old_id]), new_ids)):
        message = Propose(f"voters {name} {number}", None, ids)
        proposer.agreement.propose(proposer.now_ms, message, 8000.0, lambda result: None)
        proposer.flush()
        lab.fleet.run(6000.0)


def restart(lab, names):
    """Kills members and starts them again with their disks."""
    for name in names:
        lab.fleet.kill(name)
    lab.fleet.run(1000.0)
    for name in names:
        lab.start(name)


def test_voters_whose_disks_were_replaced_keep_what_was_agreed_when_all_restart():
    """Guards against taking a voter that was added later for one with a blank disk: it forgot all, and founded anew."""
    lab = bootstrapped(10)
    for name in lab.voters:
        replace_disk(lab, name)
    change_and_converge(lab, "p05", "bars", {"prefixes": ["94"]}, "before")
    restart(lab, lab.voters)
    assert_converged(lab)
    assert lab.fleet.metrics.counts["agreement.founded"] == 3 + 3, "each disk is initialized once"
    change_and_converge(lab, "p05", "bars", {"prefixes": ["95"]}, "after")


def test_a_voter_that_was_added_later_keeps_its_term_and_log_when_it_restarts():
    """Guards against a second vote in a term: the first one was forgotten with the log."""
    lab = bootstrapped(11)
    name = next(name for name in lab.voters if name != lab.leader_name())
    replace_disk(lab, name)
    change_and_converge(lab, "p05", "bars", {"prefixes": ["96"]}, "before")
    stored = lab.disks[name][2].stored
    assert not stored.snapshot.voters and stored.entries and stored.term
    lab.fleet.kill(name)
    raft = lab.start(name).agreement.raft
    lab.fleet.run(2000.0)
    raft = raft or lab.fleet.hosts[name].agreement.raft
    assert raft.term >= stored.term and raft.entries[: len(stored.entries)] == stored.entries
    assert not lab.fleet.hosts[name].agreement.blank


def test_a_restored_old_copy_of_a_disk_stops_its_voter_with_an_error():
    lab = bootstrapped(7)
    name = next(name for name in lab.voters if name != lab.leader_name())
    id_, starts, disk = lab.disks[name]
    lab.fleet.kill(name)
    lab.disks[name] = (
        id_,
        starts - 1,
        disk,
    )  # as in the older copy, so the next start announces `starts` again
    host = lab.start(name)
    lab.fleet.run(5000.0)
    assert host.agreement.raft is None and "older copy" in host.agreement.stop_reason
    assert [fields["code"] for _, event, fields in lab.logged if event == "agreement.stopped"] == [
        "agreement.voter-stopped"
    ]


def test_a_diverging_replica_is_quarantined_and_fetched_anew():
    lab = bootstrapped(8)
    host = lab.fleet.hosts["p06"]
    contents = host.agreement.current
    diverging = type(contents).from_bodies(contents.revision, {"isolated": b'{"most_tries":3}'})
    host.agreement.current = host.agreement.newest = diverging
    lab.fleet.run(6000.0)
    assert [fields["documents"] for _, event, fields in lab.logged if event == "agreement.quarantined"] == [
        "isolated"
    ]
    lab.violations.clear()  # the simulation has reported the diverging contents as a violation of A1
    assert_converged(lab)
    assert host.agreement.current.checksum == contents.checksum


def test_a_voter_that_diverges_from_its_leader_stops():
    lab = bootstrapped(9)
    name = next(name for name in lab.voters if name != lab.leader_name())
    agreement = lab.fleet.hosts[name].agreement
    agreement.current = agreement.newest = type(agreement.current).from_bodies(agreement.current.revision, {})
    lab.fleet.run(6000.0)
    assert "differs from the leader's" in agreement.stop_reason and agreement.raft is None


@pytest.mark.parametrize("seed", range(6))
def test_random_faults_never_break_a1_to_a3(seed):
    """Seeded mix of kills, stalls, partitions, message loss and changes at any member."""
    lab = bootstrapped(100 + seed, 6)
    rng = random.Random(seed)
    for i in range(25):
        match rng.choice(("kill", "stall", "partition", "loss", "change", "change")):
            case "kill":
                name = rng.choice(list(lab.fleet.hosts))
                lab.fleet.kill(name)
                lab.fleet.run(rng.uniform(0.0, 400.0))
                lab.start(name)
            case "stall":
                lab.fleet.hosts[rng.choice(list(lab.fleet.hosts))].stall(rng.uniform(300.0, 4000.0))
            case "partition":
                one_side = rng.sample(lab.names, rng.randrange(1, 5))
                lab.fleet.partition(one_side, [name for name in lab.names if name not in one_side])
                lab.fleet.run(rng.uniform(100.0, 4000.0))
                lab.fleet.heal()
            case "loss":
                lab.fleet.network.conditions.loss_rate = rng.choice((0.0, 0.1, 0.4))
            case "change":
                name = rng.choice(
                    [name for name, host in lab.fleet.hosts.items() if not host.stalled] or [""]
                )
                if name:
                    lab.change(name, "bars", {"prefixes": [f"9{i:02d}"]}, f"change {i}")
        lab.fleet.run(rng.uniform(0.0, 600.0))
    lab.fleet.network.conditions.loss_rate = 0.0
    assert_converged(lab, 30_000.0)
    assert len(lab.acknowledged) >= 2
