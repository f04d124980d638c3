"""What the choice of an upstream costs."""
