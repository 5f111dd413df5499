"""OpenTelemetry export of metrics and traces: OTLP over HTTP with protobuf bodies, by Twisted's HTTP client.

Off unless deploy/otlp.toml enables it. Spans wait in a bounded queue; those that don't fit are dropped and counted. A
collector that is down or slow delays no call: at most one request for metrics and one for traces are in progress.
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

from leadslip import interface
from leadslip.core import Attempt, Deadlines, Request
from leadslip.metrics import Metrics
from leadslip.parts.otlp.settings import OtlpConfig

SCOPE = InstrumentationScope(name="leadslip")
NS_PER_MS = 1_000_000


def attribute(key: str, value: str | int) -> KeyValue:
    """An attribute of a span or of the resource."""
    any_value = AnyValue(int_value=value) if isinstance(value, int) else AnyValue(string_value=value)
    return KeyValue(key=key, value=any_value)


class SpanObserver:
    """Observes one engine and passes a span called `name` to the exporter for each attempt and each request."""

    def __init__(self, exporter: Exporter, protocol: str, name: str) -> None:
        self.exporter, self.protocol, self.name = exporter, protocol, name

    def attempt_ended(self, attempt: Attempt, outcome: interface.Outcome, now_ms: float) -> None:
        trace, root_span_id = self._ids(attempt.request)
        span = self._span(trace, Span.SPAN_KIND_CLIENT, attempt.sent_ms, now_ms, outcome.value, "served")
        span.span_id, span.parent_span_id = secrets.token_bytes(8), root_span_id
        span.attributes.append(attribute("server.address", attempt.server))
        self.exporter.add_span(span)

    def request_answered(self, request: Request, answer: str, now_ms: float) -> None:
        trace, root_span_id = self._ids(request)
        span = self._span(trace, Span.SPAN_KIND_SERVER, request.received_at_ms, now_ms, answer, "stands")
        span.span_id = root_span_id
        span.attributes.append(attribute("leadslip.class", request.call_class))
        self.exporter.add_span(span)

    def _ids(self, request: Request) -> tuple[bytes, bytes]:
        """The ids of a request's trace and of its root span: hashes of the request, so that none is stored."""
        identity = f"{self.protocol} {request.id} {request.received_at_ms}".encode()
        digest = hashlib.blake2b(identity, digest_size=24, key=self.exporter.salt).digest()
        return digest[:16], digest[16:]

    def _span(
        self, trace: bytes, span_kind: int, start_ms: float, end_ms: float, result: str, success: str
    ) -> Span:
        """A span without ids of its own; it has an error status if `result` is not `success`."""
        span = Span(trace_id=trace, name=self.name, kind=span_kind)
        span.start_time_unix_nano, span.end_time_unix_nano = (
            int(start_ms) * NS_PER_MS,
            int(end_ms) * NS_PER_MS,
        )
        span.attributes.append(attribute("network.protocol.name", self.protocol))
        if result != success:
            span.status.code = Status.STATUS_CODE_ERROR
            span.attributes.append(attribute("error.type", result))
        return span


class Exporter:
    """Queues the spans of the engines and exports them, with the counters, at every interval."""

    def __init__(
        self, reactor: object, conf: OtlpConfig, name: str, deadlines: Deadlines, metrics: Metrics
    ) -> None:
        self.conf, self.deadlines, self.metrics = conf, deadlines, metrics
        self.agent = Agent(reactor, connectTimeout=conf.timeout_ms / 1000.0)
        host, port = conf.collector
        self.base_url = f"http://{f'[{host}]' if ':' in host else host}:{port}/v1/"
        self.resource = Resource(
            attributes=[attribute("service.name", "leadslip"), attribute("service.instance.id", name)]
        )
        self.salt = secrets.token_bytes(16)  # random per process, so that ids of two proxies never coincide
        self.spans: deque[Span] = deque()
        self.in_flight: dict[str, defer.Deferred] = {}  # `metrics` or `traces` -> its export request
        self.started_ns = int(deadlines.clock.now_ms()) * NS_PER_MS

    def start(self) -> None:
        """Schedules the next export, which schedules the one after it."""
        self.deadlines.call_at(self.deadlines.clock.now_ms() + self.conf.interval_ms, self._export)

    def add_span(self, span: Span) -> None:
        """Queues a span, or drops and counts it if the queue is full."""
        if len(self.spans) >= self.conf.most_spans:
            self.metrics.add("otlp.dropped_spans")
            return
        self.spans.append(span)

    def _export(self, _: object = None) -> None:
        self.flush()
        self.start()

    def flush(self) -> None:
        """Exports the metrics, and a batch of spans; skips either while its previous request is in progress."""
        if "metrics" not in self.in_flight:
            self._send("metrics", self._metrics().SerializeToString())
        if "traces" not in self.in_flight and self.spans:
            batch = [self.spans.popleft() for _ in range(min(len(self.spans), self.conf.most_batch))]
            export = ExportTraceServiceRequest()
            resource = export.resource_spans.add(resource=self.resource)
            resource.scope_spans.add(scope=SCOPE).spans.extend(batch)
            self._send("traces", export.SerializeToString(), len(batch))

    def _metrics(self) -> ExportMetricsServiceRequest:
        export = ExportMetricsServiceRequest()
        metrics = export.resource_metrics.add(resource=self.resource).scope_metrics.add(scope=SCOPE).metrics
        now_ns = int(self.deadlines.clock.now_ms()) * NS_PER_MS
        for name, count in sorted(self.metrics.counts.items()):
            metric = metrics.add(name="leadslip." + name.replace(" ", "_"), unit="1")
            metric.sum.is_monotonic = True
            metric.sum.aggregation_temporality = AggregationTemporality.AGGREGATION_TEMPORALITY_CUMULATIVE
            metric.sum.data_points.add(
                as_int=count, start_time_unix_nano=self.started_ns, time_unix_nano=now_ns
            )
        return export

    def _send(self, signal: str, body: bytes, spans: int = 0) -> None:
        """Posts an export; if it fails, it is counted and its spans are dropped."""
        request = self.agent.request(
            b"POST",
            (self.base_url + signal).encode(),
            Headers({"Content-Type": ["application/x-protobuf"]}),
            FileBodyProducer(BytesIO(body)),
        )
        self.in_flight[signal] = request
        timeout = self.deadlines.call_at(
            self.deadlines.clock.now_ms() + self.conf.timeout_ms, lambda pending: pending.cancel(), request
        )

        def check_status(response: object) -> defer.Deferred:
            if response.code // 100 != 2:
                raise ValueError(response.code)  # the HTTP status
            return readBody(response)

        def finished(result: object) -> None:
            self.deadlines.cancel(timeout)
            del self.in_flight[signal]
            if isinstance(result, Failure):
                self.metrics.add("otlp.failed_exports")
                self.metrics.add("otlp.dropped_spans", spans)

        request.addCallback(check_status)
        request.addBoth(finished)
