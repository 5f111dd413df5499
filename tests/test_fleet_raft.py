"""Raft in a simulation: elections, crashes, partitions, message loss, snapshots and changes of the voters; freshness.

The simulation records violations: two voters that commit different entries at one index, and acknowledged entries that
are missing from the committed state.
"""

import random

import pytest

from leadslip.fleet.agreement.freshness import CLOCK_DRIFT, Freshness
from leadslip.fleet.agreement.raft import Raft, RaftError, Role
from leadslip.lab.voters import SimulatedVoters


def assert_converged(lab, timeout_ms=10_000.0):
    elapsed_ms = lab.run_until(lambda: lab.converged() and not lab.lost_changes(), timeout_ms)
    assert elapsed_ms < timeout_ms, (
        "there is a leader, and all have the same state with all acknowledged entries"
    )
    assert lab.violations == []


def test_a_leader_is_elected_and_its_entries_are_committed_by_all():
    lab = SimulatedVoters(1)
    assert_converged(lab)
    for i in range(20):
        assert lab.propose(b"%d" % i)
        lab.run(20.0)
    lab.run(500.0)
    assert {tuple(voter.state) for voter in lab.voters.values()} == {tuple(b"%d" % i for i in range(20))}
    assert len(lab.acknowledged) == 20 and lab.violations == []


def test_a_partitioned_leader_steps_down_and_its_uncommitted_entries_are_dropped():
    lab = SimulatedVoters(2)
    assert_converged(lab)
    old_leader = lab.leader()
    lab.partition([old_leader.id], [id_ for id_ in lab.ids if id_ != old_leader.id])
    old_leader.run_callback(lambda: old_leader.raft.propose(lab.now_ms, b"alone"))
    assert (
        lab.run_until(lambda: old_leader.raft.role is not Role.LEADER, 5000.0)
        <= 2 * lab.timing.election_timeout_ms + 200.0
    )
    assert lab.run_until(lambda: lab.leader() is not None, 5000.0) < 3000.0
    lab.propose(b"together")
    lab.run(500.0)
    assert old_leader.raft.confirmed(lab.now_ms) is None
    lab.blocked = set()
    assert_converged(lab)
    assert old_leader.state == [b"together"]


def test_a_voter_that_was_partitioned_does_not_depose_the_leader_on_its_return():
    lab = SimulatedVoters(3)
    assert_converged(lab)
    leader = lab.leader()
    isolated_id = next(id_ for id_ in lab.ids if id_ != leader.id)
    lab.partition([isolated_id], [id_ for id_ in lab.ids if id_ != isolated_id])
    lab.run(20_000.0)
    term = leader.raft.term
    lab.blocked = set()
    lab.run(5000.0)
    assert lab.leader() is leader and leader.raft.term == term, (
        "pre-vote keeps the partitioned voter from raising the term"
    )


@pytest.mark.parametrize("seed", range(12))
def test_random_faults_never_make_commits_diverge_or_lose_acknowledged_entries(seed):
    """Seeded mix of crashes (losing what is not on disk), stops, partitions, message loss, proposals, snapshots and
    leadership transfers."""
    lab = SimulatedVoters(seed, count=3 if seed % 2 else 5)
    rng = random.Random(seed)
    down, stopped = set(), set()
    for step in range(250):
        lab.run(rng.uniform(5.0, 200.0))
        action = rng.randrange(12)
        id_ = rng.choice(lab.ids)
        if action == 0 and id_ not in down | stopped:
            lab.crash(id_)
            down.add(id_)
        elif action in (1, 2) and down:
            id_ = rng.choice(sorted(down))
            lab.start(id_)
            down.discard(id_)
        elif action == 3 and id_ not in down | stopped:
            lab.pause(id_)
            stopped.add(id_)
        elif action == 4 and stopped:
            id_ = rng.choice(sorted(stopped))
            lab.resume(id_)
            stopped.discard(id_)
        elif action == 5:
            split = rng.randrange(1, len(lab.ids))
            lab.partition(lab.ids[:split], lab.ids[split:])
        elif action == 6:
            lab.blocked = set()
        elif action == 7:
            lab.loss_rate = rng.choice((0.0, 0.1, 0.3))
        elif action == 8 and id_ not in down | stopped:
            lab.voters[id_].run_callback(lab.voters[id_].compact)
        elif action == 9 and lab.leader() is not None:
            leader, target = lab.leader(), rng.choice(lab.ids)
            if target != leader.id:
                leader.run_callback(
                    lambda leader=leader, target=target: ignore_raft_error(
                        leader.raft.transfer, lab.now_ms, target
                    )
                )
        else:
            lab.propose(b"%d" % step)
    lab.blocked, lab.loss_rate = set(), 0.0
    for id_ in down:
        lab.start(id_)
    for id_ in stopped:
        lab.resume(id_)
    assert_converged(lab, 30_000.0)
    lab.propose(b"last")
    lab.run(2000.0)
    assert_converged(lab)
    assert len(lab.acknowledged) > 20 and lab.leader().state[-1] == b"last"


def ignore_raft_error(action, *arguments):
    try:
        action(*arguments)
    except RaftError:
        return


class CommitsWithoutMajority(Raft):
    """Faulty variant: commits entries that are on its own disk only."""

    def _advance_commit_index(self, now_ms):
        if self.role is Role.LEADER:
            self._commit(self.durable_index)


def test_the_simulation_detects_a_leader_that_commits_without_a_majority():
    """Guards against a simulation that finds nothing: a faulty variant of Raft must be reported."""
    lab = SimulatedVoters(2, raft_class=CommitsWithoutMajority)
    assert lab.run_until(lambda: lab.leader() is not None, 10_000.0) < 10_000.0
    lab.run(300.0)
    old_leader = lab.leader()
    lab.partition([old_leader.id], [id_ for id_ in lab.ids if id_ != old_leader.id])
    lab.propose(b"alone")
    lab.run(4000.0)
    lab.propose(b"together")
    lab.run(500.0)
    assert any("where" in violation for violation in lab.violations), (
        "two voters commit different entries at one index"
    )
    assert b"alone" in lab.lost_changes(), "an acknowledged entry is missing at the other voters"


def test_voters_change_one_at_a_time_and_a_removed_leader_steps_down():
    lab = SimulatedVoters(5)
    assert_converged(lab)
    lab.run(200.0)
    leader = lab.leader()
    others = [id_ for id_ in lab.ids if id_ != leader.id]
    with pytest.raises(RaftError, match="one at a time"):
        leader.raft.change_voters(lab.now_ms, [leader.id])
    leader.run_callback(lambda: leader.raft.change_voters(lab.now_ms, others))
    with pytest.raises(RaftError):
        leader.raft.change_voters(lab.now_ms, lab.ids)
    assert lab.run_until(lambda: leader.raft.role is not Role.LEADER, 5000.0) < 2000.0
    lab.crash(leader.id)
    assert lab.run_until(lambda: lab.leader() is not None, 10_000.0) < 5000.0
    lab.propose(b"by two")
    lab.run(1000.0)
    assert lab.leader().state == [b"by two"] and lab.violations == []
    assert sorted(lab.leader().raft.voters) == sorted(others)


def test_a_voter_far_behind_receives_a_snapshot():
    lab = SimulatedVoters(6)
    assert_converged(lab)
    lagging = next(id_ for id_ in lab.ids if id_ != lab.leader().id)
    lab.crash(lagging)
    for i in range(50):
        lab.propose(b"%d" % i)
        lab.run(30.0)
    for voter in lab.voters.values():
        voter.run_callback(voter.compact)
    lab.run(200.0)
    lab.start(lagging)
    assert_converged(lab)
    assert lab.metrics.counts["agreement.installed"] == 1 and len(lab.voters[lagging].state) == 50


def test_a_revision_is_fresh_only_for_the_limit_after_it_was_known_to_be_the_newest():
    freshness = Freshness(2000.0)
    assert not freshness.is_fresh(0.0) and freshness.report(0.0) is None
    freshness.record_report(1000.0, 7, 300.0)
    freshness.apply_revision(7)
    assert freshness.is_fresh(700.0 + 2000.0 * (1 - CLOCK_DRIFT)) and not freshness.is_fresh(2701.0)
    assert freshness.report(1500.0) == (7, 800.0), (
        "a reported age includes the time since the report was received"
    )
    freshness.record_report(1600.0, 8, 100.0)
    assert freshness.is_fresh(2600.0) and not freshness.is_fresh(2701.0), (
        "a newer revision is known: the current one stays fresh until its limit"
    )
    freshness.apply_revision(8)
    assert freshness.is_fresh(3400.0) and freshness.report(1500.0) == (8, 0.0)
    freshness.apply_revision(7)
    assert freshness.revision == 8, "an older revision is ignored"
