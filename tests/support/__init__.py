"""Helpers that tests of several modules share."""
