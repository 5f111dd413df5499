"""The agreement wired into a proxy: messages, a thread for a voter's disk, a filter, operators' calls."""

from __future__ import annotations

import json
import random
import secrets
from collections.abc import Callable

from leadslip import interface as face
from leadslip.config import MissingError
from leadslip.errors import OperatorError
from leadslip.filters import Filter
from leadslip.fleet.agreement.disk import Disk
from leadslip.fleet.agreement.documents import (
    MOST_BYTES,
    SCHEMAS,
    Isolated,
    Outcome,
    Proposal,
    RefusedError,
    hash_of,
)
from leadslip.fleet.agreement.filter import AgreedRules
from leadslip.fleet.agreement.member import Agreement, Propose, StoppedError
from leadslip.fleet.agreement.saver import Saver
from leadslip.operators import Answer, Asked, Calls, Verbs, as_json, problem
from leadslip.parts.part import Part

WAIT_MS, MOST_WAIT_MS = 3000.0, 30_000.0  # for a majority, unless a call says otherwise; at the most
CLOSE_S = 1.0


class NoDocumentError(OperatorError):
    """No document of this name is agreed on."""

    code, status = "agreement.no-document", 404
    action = "Read /control/settings for the names there are, or propose the document."


class AgreementPart(Part):
    """This proxy as a voter, if its name is one's and it has a disk, and as one that acts on what is agreed."""

    agreement: Agreement | None = None
    saver: Saver | None = None

    def start(self) -> None:
        node, conf = self.node, self.conf
        self.peers = node.parts["fleet"].peers
        isolated = Isolated(most_tries=conf.isolated_most_tries)
        draw = random.Random(random.SystemRandom().getrandbits(64))
        kind = Agreement
        if self.peers.conf.broken:
            from leadslip.drill.broken import AGREEMENTS

            kind = AGREEMENTS.get(self.peers.conf.broken, Agreement)
        self.agreement = kind(
            self.peers.view, conf.voters, conf.in_force_ms, isolated, draw, node.tally, node.log
        )
        if self.peers.view.me.name in conf.voters:
            if not conf.disk:
                raise MissingError("agreement.disk is missing, and this proxy is named as a voter")
            disk = Disk(conf.disk)
            self.agreement.votes_with(disk.id, disk.starts, disk.kept([]))
            self.saver = Saver(disk, node.reactor.callFromThread, self.saved, self.agreement.failed)
        self.carrier = self.peers.join("agreement", self.agreement, self.save)
        self.peers.tell_facts()
        node.filter()

    # Between the fleet and the agreement.

    def saved(self, number: int) -> None:
        self.agreement.saved(self.peers.clock.now_ms(), number)
        self.carrier.flush()

    def save(self) -> None:
        """Hand over what is to be made durable."""
        held = self.agreement
        saves, held.saves = held.saves, []
        for save in saves:
            self.saver.put(save)
        if saves and not self.peers.stopped:
            self.peers.tell_facts()

    def facts(self) -> dict[str, str | int]:
        return {} if self.agreement is None else self.agreement.facts()

    def close(self) -> None:
        if self.saver is not None:
            self.saver.close(CLOSE_S)

    # What the rules are put to (filter.py).

    def filters(self) -> list[Filter]:
        if self.agreement is None:
            return []
        return [AgreedRules(self.agreement, self.peers.clock, self, self.peers.history)]

    def settings(self) -> face.Settings:
        return self.node.conf.settings

    def adopt(self, settings: face.Settings) -> None:
        engine = self.node.engine
        if settings != engine.settings:
            engine.adopt(settings, engine.most_held)

    def hold(self, servers: frozenset[str]) -> None:
        self.node.engine.hold(servers)

    def keep(self, lines: dict[str, int]) -> None:
        trunks = self.node.parts.get("trunks")
        if trunks is not None and trunks.reservation is not None:
            trunks.reservation.keep(lines, [kind.name for kind in self.settings().classes])

    # What operators ask.

    def figures(self) -> dict[str, Callable[[], int]]:
        return {"agreed_revision": lambda: self.agreement.held.revision if self.agreement is not None else 0}

    def calls(self) -> Calls:
        return {
            b"settings": Verbs(
                {b"GET": self.told, b"PUT": self.put, b"DELETE": self.put},
                below=True,
                most_body=len(SCHEMAS) * MOST_BYTES,
            ),
            b"voters": Verbs({b"GET": self.voters, b"PUT": self.put_voters}),
        }

    def there(self) -> Agreement:
        if self.agreement is None:
            raise StoppedError("the agreement has not begun yet")
        return self.agreement

    def told(self, asked: Asked) -> Answer:
        """All that is agreed, or one document."""
        held = self.there()
        if not asked.path:
            documents = {
                name: {"hash": hash_of(body), "bytes": len(body)} for name, body in held.held.bodies.items()
            }
            history = [
                {"revision": one.number, "changed": one.changed, "author": one.author, "why": one.why}
                | {"unix_ms": one.unix_ms, "id": one.id}
                for one in held.documents.history[-20:]
            ]
            told = held.told(self.peers.clock.now_ms())
            return as_json(told | {"documents": documents, "history": history})
        name = "/".join(asked.path)
        if name not in held.held.bodies:
            raise NoDocumentError(f"{name} is no document that is agreed on")
        told = {"name": name, "revision": held.held.revision, "document": json.loads(held.held.bodies[name])}
        return as_json(told)

    def put(self, asked: Asked) -> Answer | None:
        """Change one document (or, without a name, those in the body) if none has changed since `expect`."""
        held, name = self.there(), "/".join(asked.path)
        if name:
            bodies = {name: asked.body}
        else:
            try:
                told = json.loads(asked.body)
                bodies = {key: b"" if one is None else json.dumps(one).encode() for key, one in told.items()}
            except (ValueError, AttributeError) as fault:
                raise RefusedError(f"the body is no JSON object of documents: {fault}") from fault
        expect = number(asked, "expect", held.held.revision)
        query = asked.query
        change = Proposal(
            query.get("id") or secrets.token_hex(8),
            int(expect),
            bodies,
            query.get("author", ""),
            query.get("why", ""),
            self.node.clock.now_ms(),
        )
        held.documents.check(change) if held.raft is not None else None
        return self.bring(asked, Propose(change.id, change))

    def voters(self, asked: Asked) -> Answer:
        """Who votes, as this proxy knows it, and which voters' disks are in the fleet."""
        held = self.there()
        there = {
            str(one.facts["voter"]): {"name": one.name, "blank": bool(one.facts.get("blank"))}
            for one in self.peers.view.members()
            if "voter" in one.facts
        }
        return as_json({"voter": held.told(self.peers.clock.now_ms())["voter"], "there": there})

    def put_voters(self, asked: Asked) -> Answer | None:
        """Let these vote from now on: ids, joined by commas; one more or one less than now."""
        ids = [one for one in asked.query.get("ids", "").split(",") if one]
        if not ids:
            raise RefusedError("ids names no voter")
        return self.bring(asked, Propose(secrets.token_hex(8), None, ids))

    def bring(self, asked: Asked, propose: Propose) -> None:
        """Have it settled, and answer then."""
        wait_ms = min(number(asked, "wait_ms", WAIT_MS), MOST_WAIT_MS)

        def done(outcome: Outcome | OperatorError) -> None:
            if isinstance(outcome, OperatorError):
                asked.reply(problem(outcome))
            else:
                asked.reply(as_json({"revision": outcome.revision, "id": propose.id}))

        self.agreement.propose(self.peers.clock.now_ms(), propose, wait_ms, done)
        self.carrier.flush()


def number(asked: Asked, key: str, default: float) -> float:
    """A number in a call's query. Raises RefusedError."""
    try:
        return float(asked.query.get(key, default))
    except ValueError as fault:
        raise RefusedError(f"{key} is no number: {asked.query[key]!r}") from fault


PART = AgreementPart
