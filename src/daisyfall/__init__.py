"""Dispatcher for sub-second tasks with at-most-once start of each task."""

__version__ = "0.1.0"
