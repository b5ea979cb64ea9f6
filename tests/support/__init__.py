"""Helpers shared by tests of several modules."""
