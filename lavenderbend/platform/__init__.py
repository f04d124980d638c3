"""The users' platform: names, formats and calls of its metadata store.

Only the daemon's wiring imports this package. Nothing in it decides.
"""
