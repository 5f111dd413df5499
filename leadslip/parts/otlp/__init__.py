"""The part that exports metrics and traces to an OpenTelemetry collector (net/otlp.py)."""
