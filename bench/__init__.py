"""Benches with regression bounds."""
