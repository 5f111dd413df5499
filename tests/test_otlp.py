"""The OTLP export against a stand-in collector: what is exported, and that a failed collector delays no call."""

import time

import pytest
from opentelemetry.proto.collector.metrics.v1.metrics_service_pb2 import ExportMetricsServiceRequest
from opentelemetry.proto.collector.trace.v1.trace_service_pb2 import ExportTraceServiceRequest
from opentelemetry.proto.trace.v1.trace_pb2 import Span

from tests.standins import HOST, Caller, Listener, Program, SetupServer, wait_for

FIRST = "9b1f03aa5c7e2d41"


class Collector(Listener):
    """A collector that stores the exports it receives, or only counts them and never answers."""

    def __init__(self, answers=True):
        self.answers, self.metrics, self.spans, self.export_count = answers, {}, [], 0
        super().__init__()

    def serve(self, connection):
        file = connection.makefile("rb")
        while request_line := file.readline():
            size = 0
            while (line := file.readline()) not in (b"\r\n", b""):
                if line.lower().startswith(b"content-length:"):
                    size = int(line.split(b":")[1])
            body = file.read(size)
            self.export_count += 1
            if not self.answers:
                time.sleep(60)
            if b"/v1/metrics" in request_line:
                export = ExportMetricsServiceRequest.FromString(body)
                (scope,) = export.resource_metrics[0].scope_metrics
                self.metrics = {m.name: m.sum.data_points[0].as_int for m in scope.metrics}
            else:
                export = ExportTraceServiceRequest.FromString(body)
                self.spans += export.resource_spans[0].scope_spans[0].spans
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            return


@pytest.fixture
def start(tmp_path, monkeypatch):
    started = []

    def begin(collector, *lines):
        """Starts a proxy that exports to this address every 50 ms, with further lines in otlp.toml."""
        text = ["enabled = true", f'collector = "{collector}"', "interval_ms = 50", *lines]
        (tmp_path / "otlp.toml").write_text("\n".join(text))
        monkeypatch.setenv("LEADSLIP_OTLP", str(tmp_path / "otlp.toml"))
        program = Program(tmp_path, {"s0": SetupServer("answer").address})
        started.append(program)
        return program

    yield begin
    for program in started:
        assert program.stop() == 0 and "Traceback" not in "".join(program.log), program.log


def place_calls(program, count=1):
    """Places calls one after another, each of which is established and ended by the server."""
    caller = Caller(program)
    for i in range(count):
        caller.invite(f"{i:016x}")
        assert caller.receive()[0] == "SIP/2.0 200 OK"
        assert caller.receive()[0].startswith("BYE ")


def test_the_collector_receives_counters_and_the_spans_of_a_call(start):
    collector = Collector()
    place_calls(start(collector.address))
    wait_for(lambda: len(collector.spans) == 2 and collector.metrics.get("leadslip.attempts.served"))
    span_of_kind = {span.kind: span for span in collector.spans}
    server, client = span_of_kind[Span.SPAN_KIND_SERVER], span_of_kind[Span.SPAN_KIND_CLIENT]
    assert client.trace_id == server.trace_id and client.parent_span_id == server.span_id
    assert {a.key for a in client.attributes} == {"network.protocol.name", "server.address"}
    assert server.name == "INVITE" and len(server.trace_id) == 16 and not server.status.code
    assert server.start_time_unix_nano <= server.end_time_unix_nano
    assert collector.metrics["leadslip.answers.stands"] == 1


def test_an_unreachable_collector_delays_no_call_and_dropped_spans_are_counted(start):
    program = start(f"{HOST}:1", "most_spans = 10")
    place_calls(program, 20)
    program.stop()
    counts = program.counts()
    assert counts["answers.stands"] == 20 and counts["otlp.failed_exports"] and counts["otlp.dropped_spans"]


def test_a_collector_that_never_answers_delays_no_call_and_the_span_queue_is_bounded(start):
    collector = Collector(answers=False)
    program = start(collector.address, "most_spans = 5", "timeout_ms = 20000")
    wait_for(lambda: collector.export_count > 0)
    place_calls(program, 20)
    program.stop()
    counts = program.counts()
    assert counts["answers.stands"] == 20 and counts["otlp.dropped_spans"] >= 20
