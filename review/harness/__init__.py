"""Stand-ins and helpers shared by the scripts of the review."""
