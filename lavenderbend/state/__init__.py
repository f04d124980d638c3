"""Values and tables, without input or output."""
