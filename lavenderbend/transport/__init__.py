"""Sockets: callers, operators, peers, upstreams, the platform."""
