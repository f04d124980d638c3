"""A seeded load of returning chats and its report."""
