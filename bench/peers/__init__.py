"""Measurements of peer links and of membership."""
