"""Simulates agreement on settings: a virtual fleet with some voters, whose disks outlive their processes.

`SimulatedAgreement` starts and kills members, submits operators' changes at any of them, and checks every
`CHECK_INTERVAL_MS` which rules each member applies. `violations` lists the violations of A1 and A2 seen, `lost_changes`
those of A3 (the invariants are defined in leadslip/drill/check.py).
"""

from __future__ import annotations

import json
from random import Random

from leadslip.errors import OperatorError
from leadslip.fleet.agreement.documents import ChangeResult, FallbackRules, Proposal
from leadslip.fleet.agreement.member import Agreement, Propose
from leadslip.fleet.agreement.raft import Save
from leadslip.lab.fleet import Fleet, Host
from leadslip.lab.voters import Disk

CHECK_INTERVAL_MS = 10.0
DISK_DELAY_RANGE_MS = (0.5, 8.0)


class SimulatedAgreement:
    """A simulated fleet whose first `voters` members are voters; they use the Agreement class `agreement_class`.

    `in_force_ms`: how long a member applies a revision after it was last known to be the newest.
    """

    def __init__(
        self,
        seed: int,
        members: int,
        voters: int = 3,
        in_force_ms: float = 2000.0,
        agreement_class: type[Agreement] = Agreement,
    ) -> None:
        self.fleet, self.in_force_ms, self.agreement_class = Fleet(seed), in_force_ms, agreement_class
        self.rng = Random(seed + 1)
        self.names = [f"p{i:02d}" for i in range(members)]
        self.voters = tuple(f"p{i:02d}" for i in range(voters))
        self.disks: dict[str, tuple[str, int, Disk]] = {}  # name -> voter id, number of starts with it, disk
        self.disks_created = 0
        self.logged: list[tuple[float, str, dict]] = []  # log events of the members: time, event, fields
        # Revision -> checksum of its contents, name of the first member to apply it.
        self.checksum_by_revision: dict[int, tuple[int, str]] = {}
        # "<member name> <process number>" -> last revision applied.
        self.last_applied_revision: dict[str, int] = {}
        self.first_applied_ms: dict[int, float] = {}  # revision -> when it was first applied
        self.longest_overlap_ms = 0.0  # longest time an older revision was applied after a newer one
        self.violations: list[str] = []
        self.acknowledged: dict[str, int] = {}  # id of a change -> revision that it created
        self.rejections: list[OperatorError] = []  # answers to the changes that were not acknowledged
        self.fallback_checks = self.checks = 0  # checks of a member: with fallback rules in effect; all
        self.fleet.part_hooks["agreement"] = self.schedule_saves
        for name in self.names:
            self.start(name)
            self.fleet.run(20.0)
        self.fleet.clock.call_at(self.fleet.clock.now_ms, self.check_rules)

    def start(self, name: str, blank: bool = False) -> Host:
        """Start a member; a voter gets its previous disk, or a blank one at its first start and with `blank`."""
        host = self.fleet.add(name)
        agreement_class = Agreement if name not in self.voters else self.agreement_class
        agreement = host.agreement = agreement_class(
            host.view,
            self.voters,
            self.in_force_ms,
            FallbackRules(),
            Random(self.rng.getrandbits(64)),
            self.fleet.metrics,
            lambda event, **fields: self.logged.append((self.fleet.clock.now_ms, event, fields)),
        )
        host.disk_ms = 0.0
        if name in self.voters:
            if blank or name not in self.disks:
                self.disks_created += 1
                self.disks[name] = f"v{self.disks_created}-{name}", 0, Disk([])
            id_, starts, disk = self.disks[name]
            self.disks[name] = id_, starts + 1, disk
            agreement.make_voter(id_, starts + 1, disk.stored)
        host.parts_by_name["agreement"] = agreement
        agreement.on_timer(host.now_ms)
        host.view.set_metadata(host.now_ms, agreement.metadata())
        host.flush()
        return host

    def schedule_saves(self, host: Host) -> None:
        """Schedule a voter's saves: they reach the disk in order after a random delay, unless the process is killed."""
        agreement = host.agreement
        saves, agreement.saves = agreement.saves, []
        for save in saves:
            now_ms = self.fleet.clock.now_ms
            host.disk_ms = max(host.disk_ms, now_ms) + self.rng.uniform(*DISK_DELAY_RANGE_MS)
            self.fleet.clock.call_at(host.disk_ms, self.complete_save, host, self.disks[host.name][2], save)
        if saves:
            host.view.set_metadata(host.now_ms, agreement.metadata())

    def complete_save(self, host: Host, disk: Disk, save: Save) -> None:
        """Write a save to the disk and confirm it to the voter, unless its process was killed; waits during a stall."""
        if not host.up:
            return
        if host.stalled:
            self.fleet.clock.call_at(self.fleet.clock.now_ms + 20.0, self.complete_save, host, disk, save)
            return
        disk.write(save)
        host.agreement.saved(host.now_ms, save.number)
        host.flush()

    def check_rules(self) -> None:
        """Check the revision that each member applies now against A1 and A2, and schedule the next check.

        Skips stalled members, and those that apply the fallback rules.
        """
        now_ms = self.fleet.clock.now_ms
        for name, host in self.fleet.hosts.items():
            if host.stalled:
                continue
            rules = host.agreement.rules_in_effect(host.now_ms)
            self.checks += 1
            if not rules.agreed:
                self.fallback_checks += 1
                continue
            checksum, first_name = self.checksum_by_revision.setdefault(
                rules.revision, (rules.checksum, name)
            )
            if checksum != rules.checksum:
                self.violations.append(
                    f"A1: {name} applies other contents under revision {rules.revision} than {first_name}"
                )
            if rules.revision < self.last_applied_revision.get(f"{name} {host.view.run >> 16}", 0):
                self.violations.append(f"A1: {name} goes back to revision {rules.revision}")
            self.last_applied_revision[f"{name} {host.view.run >> 16}"] = rules.revision
            self.first_applied_ms.setdefault(rules.revision, now_ms)
            newer_applied_ms = [
                at_ms for revision, at_ms in self.first_applied_ms.items() if revision > rules.revision
            ]
            if newer_applied_ms:
                overlap_ms = now_ms - min(newer_applied_ms)
                self.longest_overlap_ms = max(self.longest_overlap_ms, overlap_ms)
                if overlap_ms > self.in_force_ms:
                    self.violations.append(
                        f"A2: {name} applies revision {rules.revision} {overlap_ms:.0f} ms after a newer one"
                    )
        self.fleet.clock.call_at(now_ms + CHECK_INTERVAL_MS, self.check_rules)

    def change(self, name: str, document: str, content: dict, id_: str, expect: int = -1) -> None:
        """Submit an operator's change at a member, on the condition that the current revision is `expect`.

        A negative `expect` stands for the revision that the member holds. The result is recorded in `acknowledged` or
        `rejections`.
        """
        host = self.fleet.hosts[name]
        agreement = host.agreement
        expected_revision = agreement.current.revision if expect < 0 else expect
        proposal = Proposal(id_, expected_revision, {document: json.dumps(content).encode()})

        def on_result(result: ChangeResult | OperatorError) -> None:
            if isinstance(result, OperatorError):
                self.rejections.append(result)
            else:
                self.acknowledged[id_] = result.revision

        agreement.propose(host.now_ms, Propose(id_, proposal), 4000.0, on_result)
        host.flush()

    def leader_name(self) -> str:
        """The name of the leader of the latest term; empty without a leader."""
        leaders = [
            name
            for name, host in self.fleet.hosts.items()
            if host.agreement.raft is not None and host.agreement.raft.role.name == "LEADER"
        ]
        return max(leaders, key=lambda name: self.fleet.hosts[name].agreement.raft.term, default="")

    def converged(self) -> bool:
        """Whether there is a leader and all members apply the newest agreed revision."""
        rules_of_hosts = [
            (host.agreement.rules_in_effect(host.now_ms), host) for host in self.fleet.hosts.values()
        ]
        newest = max((rules.revision for rules, _ in rules_of_hosts), default=0)
        latest = max([*self.acknowledged.values(), newest])
        return bool(self.leader_name()) and all(
            rules.agreed and rules.revision == latest for rules, _ in rules_of_hosts
        )

    def lost_changes(self) -> list[str]:
        """Ids of the acknowledged changes that are not in the leader's history; all of them if there is no leader."""
        name = self.leader_name()
        known_ids = self.fleet.hosts[name].agreement.documents.results if name else {}
        return [id_ for id_ in self.acknowledged if id_ not in known_ids]
