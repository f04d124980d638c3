"""Metrics, logs and traces."""
