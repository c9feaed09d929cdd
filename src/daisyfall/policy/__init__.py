"""Decisions of the pool dispatcher, without I/O: time and state are passed as arguments."""
