"""The agreement in the lab: members of a virtual fleet of which some vote, with disks that outlive their processes.

`Agreed` starts and kills them, has operators change documents at any of them, and looks every `LOOK_MS` at what each
acts on at that moment. `wrong` holds what breaks A1 and A2 by that record, `lost` what breaks A3.
"""

from __future__ import annotations

import json
from random import Random

from leadslip.errors import OperatorError
from leadslip.fleet.agreement.documents import Isolated, Outcome, Proposal
from leadslip.fleet.agreement.member import Agreement, Propose
from leadslip.fleet.agreement.raft import Save
from leadslip.lab.fleet import Fleet, Host
from leadslip.lab.voters import Disk

LOOK_MS = 10.0
DISK_MS = (0.5, 8.0)


class Agreed:
    """A fleet whose first members vote."""

    def __init__(
        self,
        seed: int,
        members: int,
        voters: int = 3,
        in_force_ms: float = 2000.0,
        kind: type[Agreement] = Agreement,
    ) -> None:
        self.fleet, self.in_force_ms, self.kind = Fleet(seed), in_force_ms, kind
        self.draw = Random(seed + 1)
        self.names = [f"p{i:02d}" for i in range(members)]
        self.voters = tuple(f"p{i:02d}" for i in range(voters))
        self.disks: dict[str, tuple[str, int, Disk]] = {}  # name -> id, starts, what is on it
        self.drawn = 0
        self.told: list[tuple[float, str, dict]] = []  # what proxies log
        self.contents: dict[int, tuple[int, str]] = {}  # revision -> its mark, who was first to act on it
        self.acted: dict[str, int] = {}  # the latest revision that a proxy acted on
        self.first_ms: dict[int, float] = {}  # when a revision was first acted on
        self.longest_ms = 0.0  # between a newer revision first acted on and an older one last acted on
        self.wrong: list[str] = []
        self.acknowledged: dict[str, int] = {}
        self.refused: list[OperatorError] = []
        self.isolated = self.looks = 0  # looks at which a proxy acted on the isolated rules; all looks
        self.fleet.afters["agreement"] = self.after
        for name in self.names:
            self.start(name)
            self.fleet.run(20.0)
        self.fleet.clock.at(self.fleet.clock.now_ms, self.look)

    def start(self, name: str, blank: bool = False) -> Host:
        """Start a member; a voter with its disk, or with a blank one."""
        host = self.fleet.add(name)
        held = Agreement if name not in self.voters else self.kind
        agreement = host.agreement = held(
            host.view,
            self.voters,
            self.in_force_ms,
            Isolated(),
            Random(self.draw.getrandbits(64)),
            self.fleet.tally,
            lambda event, **fields: self.told.append((self.fleet.clock.now_ms, event, fields)),
        )
        host.disk_ms = 0.0
        if name in self.voters:
            if blank or name not in self.disks:
                self.drawn += 1
                self.disks[name] = f"v{self.drawn}-{name}", 0, Disk([])
            id_, starts, disk = self.disks[name]
            self.disks[name] = id_, starts + 1, disk
            agreement.votes_with(id_, starts + 1, disk.kept)
        host.parties["agreement"] = agreement
        agreement.due(host.now_ms)
        host.view.change_facts(host.now_ms, agreement.facts())
        host.flush()
        return host

    def after(self, host: Host) -> None:
        """Saves reach the disk in order, some milliseconds later; a process that is gone writes nothing more."""
        agreement = host.agreement
        saves, agreement.saves = agreement.saves, []
        for save in saves:
            now_ms = self.fleet.clock.now_ms
            host.disk_ms = max(host.disk_ms, now_ms) + self.draw.uniform(*DISK_MS)
            self.fleet.clock.at(host.disk_ms, self.written, host, self.disks[host.name][2], save)
        if saves:
            host.view.change_facts(host.now_ms, agreement.facts())

    def written(self, host: Host, disk: Disk, save: Save) -> None:
        if not host.up:
            return
        if host.stalled:
            self.fleet.clock.at(self.fleet.clock.now_ms + 20.0, self.written, host, disk, save)
            return
        disk.write(save)
        host.agreement.saved(host.now_ms, save.number)
        host.flush()

    def look(self) -> None:
        """What each acts on now."""
        now_ms = self.fleet.clock.now_ms
        for name, host in self.fleet.hosts.items():
            if host.stalled:
                continue
            rules = host.agreement.in_force(host.now_ms)
            self.looks += 1
            if not rules.agreed:
                self.isolated += 1
                continue
            mark, by = self.contents.setdefault(rules.revision, (rules.mark, name))
            if mark != rules.mark:
                self.wrong.append(f"A1: {name} acts on other contents of revision {rules.revision} than {by}")
            if rules.revision < self.acted.get(f"{name} {host.view.run >> 16}", 0):
                self.wrong.append(f"A1: {name} goes back to revision {rules.revision}")
            self.acted[f"{name} {host.view.run >> 16}"] = rules.revision
            self.first_ms.setdefault(rules.revision, now_ms)
            newer = [at_ms for revision, at_ms in self.first_ms.items() if revision > rules.revision]
            if newer:
                span_ms = now_ms - min(newer)
                self.longest_ms = max(self.longest_ms, span_ms)
                if span_ms > self.in_force_ms:
                    self.wrong.append(
                        f"A2: {name} acts on revision {rules.revision} {span_ms:.0f} ms too long"
                    )
        self.fleet.clock.at(now_ms + LOOK_MS, self.look)

    def change(self, name: str, document: str, told: dict, id_: str, expect: int = -1) -> None:
        """An operator changes a document at a member."""
        host = self.fleet.hosts[name]
        agreement = host.agreement
        seen = agreement.held.revision if expect < 0 else expect
        proposal = Proposal(id_, seen, {document: json.dumps(told).encode()})

        def done(outcome: Outcome | OperatorError) -> None:
            if isinstance(outcome, OperatorError):
                self.refused.append(outcome)
            else:
                self.acknowledged[id_] = outcome.revision

        agreement.propose(host.now_ms, Propose(id_, proposal), 4000.0, done)
        host.flush()

    def led(self) -> str:
        """The name of whoever leads; nothing while nobody does."""
        leading = [
            name
            for name, host in self.fleet.hosts.items()
            if host.agreement.raft is not None and host.agreement.raft.role.name == "LEADER"
        ]
        return max(leading, key=lambda name: self.fleet.hosts[name].agreement.raft.term, default="")

    def same(self) -> bool:
        """Whether all act on one agreed revision, and it is the newest."""
        held = [(host.agreement.in_force(host.now_ms), host) for host in self.fleet.hosts.values()]
        newest = max((rules.revision for rules, _ in held), default=0)
        top = max([*self.acknowledged.values(), newest])
        return bool(self.led()) and all(rules.agreed and rules.revision == top for rules, _ in held)

    def lost(self) -> list[str]:
        """What was acknowledged and stands in no history of the voter that leads."""
        name = self.led()
        known = self.fleet.hosts[name].agreement.documents.ids if name else {}
        return [id_ for id_ in self.acknowledged if id_ not in known]
