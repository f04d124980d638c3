"""The report of all benches: one HTML page."""
