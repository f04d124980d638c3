"""The relay's cost against a bare relay of the same libraries."""
