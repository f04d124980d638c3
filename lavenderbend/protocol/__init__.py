"""Messages between processes and their encodings."""
