"""Connects the agreement to a running proxy: fleet messages, a voter's disk, the request filter and endpoints."""

from __future__ import annotations

import json
import random
import secrets
from collections.abc import Callable

from leadslip import interface
from leadslip.config import MissingError
from leadslip.errors import OperatorError
from leadslip.filters import Filter
from leadslip.fleet.agreement.disk import Disk
from leadslip.fleet.agreement.documents import (
    MAX_DOCUMENT_BYTES,
    SCHEMAS,
    ChangeResult,
    FallbackRules,
    Proposal,
    RefusedError,
    hash_of,
)
from leadslip.fleet.agreement.filter import AgreedRulesFilter
from leadslip.fleet.agreement.member import Agreement, Propose, StoppedError
from leadslip.fleet.agreement.saver import Saver
from leadslip.operators import Answer, Endpoint, Endpoints, OperatorRequest, as_json, problem
from leadslip.parts.part import Part

DEFAULT_WAIT_MS, MAX_WAIT_MS = (
    3000.0,
    30_000.0,
)  # how long an operator's request waits for its change to be committed
CLOSE_TIMEOUT_S = 1.0  # how long a shutdown waits for queued saves to be written


class NoDocumentError(OperatorError):
    """There is no agreed document of this name."""

    code, status = "agreement.no-document", 404
    action = "See /control/settings for the existing names, or propose the document."


class AgreementPart(Part):
    """Runs this proxy's agreement member, as a voter if the settings list its name, and applies the rules in effect."""

    agreement: Agreement | None = None
    saver: Saver | None = None

    def start(self) -> None:
        node, conf = self.node, self.conf
        self.peers = node.parts["fleet"].peers
        isolated = FallbackRules(most_tries=conf.isolated_most_tries)
        rng = random.Random(random.SystemRandom().getrandbits(64))
        agreement_class = Agreement
        if self.peers.conf.faulty_variant:
            from leadslip.drill.faulty import AGREEMENT_VARIANTS

            agreement_class = AGREEMENT_VARIANTS.get(self.peers.conf.faulty_variant, Agreement)
        self.agreement = agreement_class(
            self.peers.view, conf.voters, conf.in_force_ms, isolated, rng, node.metrics, node.log
        )
        if self.peers.view.me.name in conf.voters:
            if not conf.disk:
                raise MissingError(
                    "agreement.disk is missing: this proxy is listed in agreement.voters and needs a file"
                )
            disk = Disk(conf.disk)
            self.agreement.make_voter(disk.id, disk.starts, disk.load([]))
            self.saver = Saver(disk, node.reactor.callFromThread, self.saved, self.agreement.on_save_failed)
        self.transport = self.peers.add_part("agreement", self.agreement, self.save)
        self.peers.publish_metadata()
        node.rebuild_filters()

    # Saves of a voter, and metadata.

    def saved(self, number: int) -> None:
        """Handles the disk thread's report that the save with this number is durable."""
        self.agreement.saved(self.peers.clock.now_ms(), number)
        self.transport.flush()

    def save(self) -> None:
        """Passes new saves to the disk thread; publishes the metadata, as the first of them changes `blank`."""
        agreement = self.agreement
        saves, agreement.saves = agreement.saves, []
        for save in saves:
            self.saver.put(save)
        if saves and not self.peers.stopped:
            self.peers.publish_metadata()

    def member_metadata(self) -> dict[str, str | int]:
        return {} if self.agreement is None else self.agreement.metadata()

    def close(self) -> None:
        if self.saver is not None:
            self.saver.close(CLOSE_TIMEOUT_S)

    # RulesTarget (filter.py).

    def filters(self) -> list[Filter]:
        if self.agreement is None:
            return []
        return [AgreedRulesFilter(self.agreement, self.peers.clock, self, self.peers.history)]

    def settings(self) -> interface.Settings:
        return self.node.conf.settings

    def apply_settings(self, settings: interface.Settings) -> None:
        engine = self.node.engine
        if settings != engine.settings:
            engine.apply_settings(settings, engine.max_open_requests)

    def drain_servers(self, servers: frozenset[str]) -> None:
        self.node.engine.drain_servers(servers)

    def set_reserved_lines(self, lines: dict[str, int]) -> None:
        trunks = self.node.parts.get("trunks")
        if trunks is not None and trunks.reservation is not None:
            trunks.reservation.set_reserved_lines(
                lines, [call_class.name for call_class in self.settings().classes]
            )

    # Control endpoints.

    def gauges(self) -> dict[str, Callable[[], int]]:
        return {
            "agreed_revision": lambda: self.agreement.current.revision if self.agreement is not None else 0
        }

    def endpoints(self) -> Endpoints:
        return {
            b"settings": Endpoint(
                {b"GET": self.get_settings, b"PUT": self.put_settings, b"DELETE": self.put_settings},
                has_subpaths=True,
                max_body=len(SCHEMAS) * MAX_DOCUMENT_BYTES,
            ),
            b"voters": Endpoint({b"GET": self.get_voters, b"PUT": self.put_voters}),
        }

    def require_agreement(self) -> Agreement:
        """Returns the agreement. Raises StoppedError before the part has started."""
        if self.agreement is None:
            raise StoppedError("the agreement has not started on this proxy yet")
        return self.agreement

    def get_settings(self, request: OperatorRequest) -> Answer:
        """Answers with this member's status, the documents' hashes and the latest changes, or with one document.

        Only voters have the history of changes; it is empty at learners.
        """
        agreement = self.require_agreement()
        if not request.path:
            documents = {
                name: {"hash": hash_of(body), "bytes": len(body)}
                for name, body in agreement.current.bodies.items()
            }
            history = [
                {
                    "revision": revision.number,
                    "changed": revision.changed,
                    "author": revision.author,
                    "why": revision.reason,
                }
                | {"unix_ms": revision.unix_ms, "id": revision.id}
                for revision in agreement.documents.history[-20:]
            ]
            status = agreement.status(self.peers.clock.now_ms())
            return as_json(status | {"documents": documents, "history": history})
        name = "/".join(request.path)
        if name not in agreement.current.bodies:
            raise NoDocumentError(
                f"no document {name} is agreed on; there are: {', '.join(agreement.current.bodies) or 'none'}"
            )
        answer = {
            "name": name,
            "revision": agreement.current.revision,
            "document": json.loads(agreement.current.bodies[name]),
        }
        return as_json(answer)

    def put_settings(self, request: OperatorRequest) -> Answer | None:
        """Proposes a change of the document that the path names, or without a name of all documents in the body.

        An empty body, or null in place of a document, deletes it. The change is applied only if its documents have not
        changed since revision `expect` of the query; by default that is the revision which this proxy applies.
        """
        agreement, name = self.require_agreement(), "/".join(request.path)
        if name:
            bodies = {name: request.body}
        else:
            try:
                documents = json.loads(request.body)
                bodies = {
                    key: b"" if document is None else json.dumps(document).encode()
                    for key, document in documents.items()
                }
            except (ValueError, AttributeError) as error:
                raise RefusedError(
                    f"the body must be a JSON object that maps document names to documents: {error}"
                ) from error
        expect = query_number(request, "expect", agreement.current.revision)
        query = request.query
        change = Proposal(
            query.get("id") or secrets.token_hex(8),
            int(expect),
            bodies,
            query.get("author", ""),
            query.get("why", ""),
            self.node.clock.now_ms(),
        )
        # A voter has the documents and checks the change at once; for a learner the leader checks it.
        agreement.documents.check(change) if agreement.raft is not None else None
        return self.propose(request, Propose(change.id, change))

    def get_voters(self, request: OperatorRequest) -> Answer:
        """Answers with this proxy's status as a voter (null if it is none), and all live members that are voters."""
        agreement = self.require_agreement()
        live_voters = {
            str(member.metadata["voter"]): {"name": member.name, "blank": bool(member.metadata.get("blank"))}
            for member in self.peers.view.members()
            if "voter" in member.metadata
        }
        return as_json({"voter": agreement.status(self.peers.clock.now_ms())["voter"], "there": live_voters})

    def put_voters(self, request: OperatorRequest) -> Answer | None:
        """Proposes a new list of voters (`ids`, separated by commas), with one voter more or one less than now."""
        ids = [id_ for id_ in request.query.get("ids", "").split(",") if id_]
        if not ids:
            raise RefusedError(
                "the query has no `ids`: it must list the ids of all voters, separated by commas"
            )
        return self.propose(request, Propose(secrets.token_hex(8), None, ids))

    def propose(self, request: OperatorRequest, proposal: Propose) -> None:
        """Proposes a change, or a list of voters, and replies once its result is known or `wait_ms` has passed."""
        wait_ms = min(query_number(request, "wait_ms", DEFAULT_WAIT_MS), MAX_WAIT_MS)

        def done(result: ChangeResult | OperatorError) -> None:
            if isinstance(result, OperatorError):
                request.reply(problem(result))
            else:
                request.reply(as_json({"revision": result.revision, "id": proposal.id}))

        self.agreement.propose(self.peers.clock.now_ms(), proposal, wait_ms, done)
        self.transport.flush()


def query_number(request: OperatorRequest, key: str, default: float) -> float:
    """Returns the number under a key of a request's query. Raises RefusedError if the value is not a number."""
    try:
        return float(request.query.get(key, default))
    except ValueError as error:
        raise RefusedError(f"{key} must be a number: {request.query[key]!r}") from error


PART = AgreementPart
