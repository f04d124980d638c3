"""Messages between processes, stored records, and their encodings."""
