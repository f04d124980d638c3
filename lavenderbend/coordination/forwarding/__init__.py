"""Forwards any HTTP request by rule, with what routers share about it."""
