"""Handling of requests, jobs and tasks."""
