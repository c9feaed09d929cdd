"""Decisions of the pool dispatcher: time and state come in as arguments, no sockets or files."""
