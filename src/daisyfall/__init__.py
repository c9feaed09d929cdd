"""Dispatcher for sub-second tasks that starts each task at most once."""

__version__ = "0.1.0"
