"""HTML report that compares several measurements, read from a JSON Lines file."""

import json
import pathlib

import jinja2
import pygal

_PAGE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>daisyfall measurements</title>
<style>body{font-family:sans-serif} td,th{padding:2px 8px;text-align:right}
td:first-child{text-align:left} figure{max-width:60em}</style></head><body>
<h1>daisyfall measurements</h1>
{% for title, chart in charts %}
<figure><figcaption>{{ title }}</figcaption>{{ chart|safe }}</figure>
{% endfor %}
<table><tr><th>run</th>{% for column in columns %}<th>{{ column }}</th>{% endfor %}</tr>
{% for name, cells in rows %}<tr><td>{{ name }}</td>
{% for cell in cells %}<td>{{ cell }}</td>{% endfor %}</tr>{% endfor %}</table>
</body></html>
"""
_COLUMNS = (
    "jobs",
    "complete",
    "failed",
    "refused",
    "started_twice",
    "partial_answers",
    "not_run_but_ran",
    "starts_per_second",
    "resubmissions",
    "load_average",
)
_MAX_CHART_RATIO = 20.0  # longer bars would make the others unreadable


def read(path: str) -> list[dict]:
    """Return the measurements in a JSON Lines file."""
    lines = pathlib.Path(path).read_text(encoding="utf-8").splitlines()
    return [json.loads(line) for line in lines if line.strip()]


def write(path: str, runs: list[dict]) -> None:
    """Write the report to a file."""
    pathlib.Path(path).write_text(render(runs), encoding="utf-8")


def render(runs: list[dict]) -> str:
    """Return the report as HTML, with the measurements in the given order."""
    runs_with_ratios = [run for run in runs if run.get("response_over_ideal")]
    ratios = {
        key: [min(run["response_over_ideal"][key], _MAX_CHART_RATIO) for run in runs_with_ratios]
        for key in ("p50", "p99")
    }
    runs_with_waste = [run for run in runs if run.get("wasted_messages_per_task") is not None]
    wasted = {"wasted": [run["wasted_messages_per_task"] for run in runs_with_waste]}
    charts = [
        (f"Response over ideal, cut at {_MAX_CHART_RATIO:g}", _chart(runs_with_ratios, ratios)),
        ("Wasted messages per task", _chart(runs_with_waste, wasted)),
    ]
    rows = [(run_label(run), [run.get(column, "") for column in _COLUMNS]) for run in runs]
    template = jinja2.Environment(autoescape=True).from_string(_PAGE)
    return template.render(charts=charts, columns=_COLUMNS, rows=rows)


def run_label(run: dict) -> str:
    """Return the label of a measurement in charts and in the table."""
    return f"{run['scenario']} {run['deployment']} {run['policy']} {run['seed']}"


def _chart(runs: list[dict], values_by_name: dict[str, list[float]]) -> str:
    # Without scripts the report can be opened offline.
    chart = pygal.HorizontalBar(js=[], height=120 + 40 * len(runs), disable_xml_declaration=True)
    chart.x_labels = [run_label(run) for run in runs]
    for title, values in values_by_name.items():
        chart.add(title, values)
    return chart.render(is_unicode=True)
