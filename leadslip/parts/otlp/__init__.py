"""Metrics and traces to an OpenTelemetry collector (net/otlp.py)."""
