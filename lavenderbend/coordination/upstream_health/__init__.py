"""Exclusion of upstreams by observed facts, failures and flapping."""
