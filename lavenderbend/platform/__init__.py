"""Adapter to the users' platform: formats and calls of its metadata store.

Only the daemon's wiring imports this package. It contains no decision logic.
"""
