"""Distributes accepted configuration; no router goes back to an older one."""
