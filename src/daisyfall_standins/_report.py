"""HTML page that compares the JSON lines of several measurements."""

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
_RATIO_LIMIT = 20.0  # beyond this a bar would hide all others


def read(path: str) -> list[dict]:
    """Return the measurements in a file of JSON lines."""
    lines = pathlib.Path(path).read_text(encoding="utf-8").splitlines()
    return [json.loads(line) for line in lines if line.strip()]


def write(path: str, runs: list[dict]) -> None:
    """Write the page."""
    pathlib.Path(path).write_text(render(runs), encoding="utf-8")


def render(runs: list[dict]) -> str:
    """Return the page for the measurements, in their order."""
    with_ratios = [run for run in runs if run.get("response_over_ideal")]
    ratios = {
        key: [min(run["response_over_ideal"][key], _RATIO_LIMIT) for run in with_ratios]
        for key in ("p50", "p99")
    }
    with_waste = [run for run in runs if run.get("wasted_messages_per_task") is not None]
    wasted = {"wasted": [run["wasted_messages_per_task"] for run in with_waste]}
    charts = [
        (f"Response over ideal, cut at {_RATIO_LIMIT:g}", _chart(with_ratios, ratios)),
        ("Wasted messages per task", _chart(with_waste, wasted)),
    ]
    rows = [(name(run), [run.get(column, "") for column in _COLUMNS]) for run in runs]
    template = jinja2.Environment(autoescape=True).from_string(_PAGE)
    return template.render(charts=charts, columns=_COLUMNS, rows=rows)


def name(run: dict) -> str:
    """Return the label of a measurement."""
    return f"{run['scenario']} {run['deployment']} {run['policy']} {run['seed']}"


def _chart(runs: list[dict], values_by_name: dict[str, list[float]]) -> str:
    # Without js the page needs no network.
    chart = pygal.HorizontalBar(js=[], height=120 + 40 * len(runs), disable_xml_declaration=True)
    chart.x_labels = [name(run) for run in runs]
    for title, values in values_by_name.items():
        chart.add(title, values)
    return chart.render(is_unicode=True)
