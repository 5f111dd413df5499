"""OpenTelemetry export: OTLP over HTTP, protobuf, by Twisted's client; metrics and traces.

Off unless deploy/otlp.toml turns it on. Spans wait in a bounded queue and what does not fit is counted; a
collector that is dead or slow costs one request at a time and delays no call.
"""

from __future__ import annotations

import hashlib
import secrets
from collections import deque
from io import BytesIO

from opentelemetry.proto.collector.metrics.v1.metrics_service_pb2 import ExportMetricsServiceRequest
from opentelemetry.proto.collector.trace.v1.trace_service_pb2 import ExportTraceServiceRequest
from opentelemetry.proto.common.v1.common_pb2 import AnyValue, InstrumentationScope, KeyValue
from opentelemetry.proto.metrics.v1.metrics_pb2 import AggregationTemporality
from opentelemetry.proto.resource.v1.resource_pb2 import Resource
from opentelemetry.proto.trace.v1.trace_pb2 import Span, Status
from twisted.internet import defer
from twisted.python.failure import Failure
from twisted.web.client import Agent, FileBodyProducer, readBody
from twisted.web.http_headers import Headers

from leadslip import interface as face
from leadslip.checks import Tally
from leadslip.core import Attempt, Deadlines, Request
from leadslip.parts.otlp.settings import OtlpConfig

SCOPE = InstrumentationScope(name="leadslip")
NS = 1_000_000  # nanoseconds of a millisecond


def attribute(key: str, value: str | int) -> KeyValue:
    """One attribute."""
    told = AnyValue(int_value=value) if isinstance(value, int) else AnyValue(string_value=value)
    return KeyValue(key=key, value=told)


class Watch:
    """The watcher of one engine; tells the exporter in the words of its protocol."""

    def __init__(self, exporter: Exporter, protocol: str, name: str) -> None:
        self.exporter, self.protocol, self.name = exporter, protocol, name

    def attempt_ended(self, attempt: Attempt, outcome: face.Outcome, now_ms: float) -> None:
        trace, root = self._ids(attempt.request)
        span = self._span(trace, Span.SPAN_KIND_CLIENT, attempt.sent_ms, now_ms, outcome.value, "served")
        span.span_id, span.parent_span_id = secrets.token_bytes(8), root
        span.attributes.append(attribute("server.address", attempt.server))
        self.exporter.keep(span)

    def request_answered(self, request: Request, answer: str, now_ms: float) -> None:
        trace, root = self._ids(request)
        span = self._span(trace, Span.SPAN_KIND_SERVER, request.taken_ms, now_ms, answer, "stands")
        span.span_id = root
        span.attributes.append(attribute("leadslip.class", request.call_class))
        self.exporter.keep(span)

    def _ids(self, request: Request) -> tuple[bytes, bytes]:
        """The ids of a request's trace and root span: drawn from what is its own, so that none are kept."""
        told = f"{self.protocol} {request.id} {request.taken_ms}".encode()
        drawn = hashlib.blake2b(told, digest_size=24, key=self.exporter.salt).digest()
        return drawn[:16], drawn[16:]

    def _span(self, trace: bytes, kind: int, start_ms: float, end_ms: float, result: str, good: str) -> Span:
        span = Span(trace_id=trace, name=self.name, kind=kind)
        span.start_time_unix_nano, span.end_time_unix_nano = int(start_ms) * NS, int(end_ms) * NS
        span.attributes.append(attribute("network.protocol.name", self.protocol))
        if result != good:
            span.status.code = Status.STATUS_CODE_ERROR
            span.attributes.append(attribute("error.type", result))
        return span


class Exporter:
    """Keeps what engines tell, and sends it every interval."""

    def __init__(
        self, reactor: object, conf: OtlpConfig, name: str, deadlines: Deadlines, tally: Tally
    ) -> None:
        self.conf, self.deadlines, self.tally = conf, deadlines, tally
        self.agent = Agent(reactor, connectTimeout=conf.timeout_ms / 1000.0)
        host, port = conf.collector
        self.base = f"http://{f'[{host}]' if ':' in host else host}:{port}/v1/"
        self.resource = Resource(
            attributes=[attribute("service.name", "leadslip"), attribute("service.instance.id", name)]
        )
        self.salt = secrets.token_bytes(16)
        self.spans: deque[Span] = deque()
        self.asking: dict[str, defer.Deferred] = {}
        self.started_ns = int(deadlines.clock.now_ms()) * NS

    def start(self) -> None:
        """Begin to export."""
        self.deadlines.at(self.deadlines.clock.now_ms() + self.conf.interval_ms, self._export)

    def keep(self, span: Span) -> None:
        if len(self.spans) >= self.conf.most_spans:
            self.tally.add("otlp.dropped_spans")
            return
        self.spans.append(span)

    def _export(self, _: object = None) -> None:
        self.flush()
        self.start()

    def flush(self) -> None:
        """Send what is there, unless the last of its kind is still under way."""
        if "metrics" not in self.asking:
            self._send("metrics", self._metrics().SerializeToString())
        if "traces" not in self.asking and self.spans:
            batch = [self.spans.popleft() for _ in range(min(len(self.spans), self.conf.most_batch))]
            told = ExportTraceServiceRequest()
            resource = told.resource_spans.add(resource=self.resource)
            resource.scope_spans.add(scope=SCOPE).spans.extend(batch)
            self._send("traces", told.SerializeToString(), len(batch))

    def _metrics(self) -> ExportMetricsServiceRequest:
        told = ExportMetricsServiceRequest()
        metrics = told.resource_metrics.add(resource=self.resource).scope_metrics.add(scope=SCOPE).metrics
        now_ns = int(self.deadlines.clock.now_ms()) * NS
        for name, count in sorted(self.tally.counts.items()):
            metric = metrics.add(name="leadslip." + name.replace(" ", "_"), unit="1")
            metric.sum.is_monotonic = True
            metric.sum.aggregation_temporality = AggregationTemporality.AGGREGATION_TEMPORALITY_CUMULATIVE
            metric.sum.data_points.add(
                as_int=count, start_time_unix_nano=self.started_ns, time_unix_nano=now_ns
            )
        return told

    def _send(self, kind: str, body: bytes, spans: int = 0) -> None:
        asking = self.agent.request(
            b"POST",
            (self.base + kind).encode(),
            Headers({"Content-Type": ["application/x-protobuf"]}),
            FileBodyProducer(BytesIO(body)),
        )
        self.asking[kind] = asking
        watch = self.deadlines.at(
            self.deadlines.clock.now_ms() + self.conf.timeout_ms, lambda of: of.cancel(), asking
        )

        def begun(response: object) -> defer.Deferred:
            if response.code // 100 != 2:
                raise ValueError(response.code)
            return readBody(response)

        def ended(result: object) -> None:
            self.deadlines.cancel(watch)
            del self.asking[kind]
            if isinstance(result, Failure):
                self.tally.add("otlp.failed_exports")
                self.tally.add("otlp.dropped_spans", spans)

        asking.addCallback(begun)
        asking.addBoth(ended)
