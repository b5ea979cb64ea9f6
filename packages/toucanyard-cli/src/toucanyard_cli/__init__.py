"""Provide the command line for operators and callers."""
