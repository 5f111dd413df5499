"""Consensus among voters in the lab: elections, disks, crashes, partitions, snapshots, changes of voters."""

import random

import pytest

from leadslip.fleet.agreement.raft import Raft, RaftError, Role
from leadslip.fleet.agreement.vouch import DRIFT, Vouched
from leadslip.lab.voters import Voters


def settled(lab, most_ms=10_000.0):
    whole = lab.until(lambda: lab.agreed() and not lab.missing(), most_ms)
    assert whole < most_ms, "one leads, and all hold the same with all that was acknowledged"
    assert lab.wrong == []


def test_one_is_elected_and_what_it_takes_is_committed_by_all():
    lab = Voters(1)
    settled(lab)
    for i in range(20):
        assert lab.put(b"%d" % i)
        lab.run(20.0)
    lab.run(500.0)
    assert {tuple(one.state) for one in lab.voters.values()} == {tuple(b"%d" % i for i in range(20))}
    assert len(lab.acknowledged) == 20 and lab.wrong == []


def test_a_leader_cut_off_stands_down_and_what_it_took_alone_is_given_up():
    lab = Voters(2)
    settled(lab)
    old = lab.leader()
    lab.part([old.id], [id_ for id_ in lab.ids if id_ != old.id])
    old.act(lambda: old.raft.propose(lab.now_ms, b"alone"))
    assert lab.until(lambda: old.raft.role is not Role.LEADER, 5000.0) <= 2 * lab.pace.patience_ms + 200.0
    assert lab.until(lambda: lab.leader() is not None, 5000.0) < 3000.0
    lab.put(b"together")
    lab.run(500.0)
    assert old.raft.confirmed(lab.now_ms) is None
    lab.cut = set()
    settled(lab)
    assert old.state == [b"together"]


def test_one_that_was_cut_off_does_not_push_the_leader_out():
    lab = Voters(3)
    settled(lab)
    leader = lab.leader()
    alone = next(id_ for id_ in lab.ids if id_ != leader.id)
    lab.part([alone], [id_ for id_ in lab.ids if id_ != alone])
    lab.run(20_000.0)
    term = leader.raft.term
    lab.cut = set()
    lab.run(5000.0)
    assert lab.leader() is leader and leader.raft.term == term, "pre-vote keeps terms from being used up"


@pytest.mark.parametrize("seed", range(12))
def test_whatever_breaks_no_two_commit_different_things_and_nothing_acknowledged_is_lost(seed):
    """Crashes that lose what is not on disk, stops, partitions, loss, puts, snapshots, hand-overs, as a seed draws."""
    lab = Voters(seed, count=3 if seed % 2 else 5)
    draw = random.Random(seed)
    down, stopped = set(), set()
    for step in range(250):
        lab.run(draw.uniform(5.0, 200.0))
        act = draw.randrange(12)
        id_ = draw.choice(lab.ids)
        if act == 0 and id_ not in down | stopped:
            lab.crash(id_)
            down.add(id_)
        elif act in (1, 2) and down:
            id_ = draw.choice(sorted(down))
            lab.start(id_)
            down.discard(id_)
        elif act == 3 and id_ not in down | stopped:
            lab.stop(id_)
            stopped.add(id_)
        elif act == 4 and stopped:
            id_ = draw.choice(sorted(stopped))
            lab.go_on(id_)
            stopped.discard(id_)
        elif act == 5:
            cut = draw.randrange(1, len(lab.ids))
            lab.part(lab.ids[:cut], lab.ids[cut:])
        elif act == 6:
            lab.cut = set()
        elif act == 7:
            lab.lost = draw.choice((0.0, 0.1, 0.3))
        elif act == 8 and id_ not in down | stopped:
            lab.voters[id_].act(lab.voters[id_].compact)
        elif act == 9 and lab.leader() is not None:
            leader, to = lab.leader(), draw.choice(lab.ids)
            if to != leader.id:
                leader.act(lambda leader=leader, to=to: lawful(leader.raft.transfer, lab.now_ms, to))
        else:
            lab.put(b"%d" % step)
    lab.cut, lab.lost = set(), 0.0
    for id_ in down:
        lab.start(id_)
    for id_ in stopped:
        lab.go_on(id_)
    settled(lab, 30_000.0)
    lab.put(b"last")
    lab.run(2000.0)
    settled(lab)
    assert len(lab.acknowledged) > 20 and lab.leader().state[-1] == b"last"


def lawful(act, *told):
    try:
        act(*told)
    except RaftError:
        return


class Hasty(Raft):
    """Takes for committed what is on its own disk alone."""

    def _advance(self, now_ms):
        if self.role is Role.LEADER:
            self._commit(self.durable_index)


def test_the_lab_sees_a_leader_that_commits_without_a_majority():
    lab = Voters(2, kind=Hasty)
    assert lab.until(lambda: lab.leader() is not None, 10_000.0) < 10_000.0
    lab.run(300.0)
    old = lab.leader()
    lab.part([old.id], [id_ for id_ in lab.ids if id_ != old.id])
    lab.put(b"alone")
    lab.run(4000.0)
    lab.put(b"together")
    lab.run(500.0)
    assert any("where" in told for told in lab.wrong), "two commit different entries in one place"
    assert b"alone" in lab.missing(), "what was acknowledged is not with the others"


def test_voters_change_one_at_a_time_and_one_that_was_taken_out_leads_no_more():
    lab = Voters(5)
    settled(lab)
    lab.run(200.0)
    leader = lab.leader()
    others = [id_ for id_ in lab.ids if id_ != leader.id]
    with pytest.raises(RaftError, match="one at a time"):
        leader.raft.change_voters(lab.now_ms, [leader.id])
    leader.act(lambda: leader.raft.change_voters(lab.now_ms, others))
    with pytest.raises(RaftError):
        leader.raft.change_voters(lab.now_ms, lab.ids)
    assert lab.until(lambda: leader.raft.role is not Role.LEADER, 5000.0) < 2000.0
    lab.crash(leader.id)
    assert lab.until(lambda: lab.leader() is not None, 10_000.0) < 5000.0
    lab.put(b"by two")
    lab.run(1000.0)
    assert lab.leader().state == [b"by two"] and lab.wrong == []
    assert sorted(lab.leader().raft.voters) == sorted(others)


def test_a_voter_far_behind_is_given_a_snapshot():
    lab = Voters(6)
    settled(lab)
    behind = next(id_ for id_ in lab.ids if id_ != lab.leader().id)
    lab.crash(behind)
    for i in range(50):
        lab.put(b"%d" % i)
        lab.run(30.0)
    for voter in lab.voters.values():
        voter.act(voter.compact)
    lab.run(200.0)
    lab.start(behind)
    settled(lab)
    assert lab.tally.counts["agreement.installed"] == 1 and len(lab.voters[behind].state) == 50


def test_a_revision_is_good_only_as_long_as_it_was_certainly_the_newest():
    held = Vouched(2000.0)
    assert not held.good(0.0) and held.told(0.0) is None
    held.heard(1000.0, 7, 300.0)
    held.hold(7)
    assert held.good(700.0 + 2000.0 * (1 - DRIFT)) and not held.good(2701.0)
    assert held.told(1500.0) == (7, 800.0), "what goes on grows older on the way"
    held.heard(1600.0, 8, 100.0)
    assert held.good(2600.0) and not held.good(2701.0), (
        "a newer one is known: the older goes on till its time is up"
    )
    held.hold(8)
    assert held.good(3400.0) and held.told(1500.0) == (8, 0.0)
    held.hold(7)
    assert held.revision == 8, "revisions only grow"
