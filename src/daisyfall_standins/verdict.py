"""Runs behave on feature files and reduces the results to one pass or fail verdict.

Scenarios that KNOWN-RED.txt lists in a `test:` line are expected to fail. The verdict is a failure
if another scenario fails, or if a listed one passes or wasn't run. Scenarios in a `flaky:` line
have failed once for an unknown cause; they may pass or fail but must run, and are always printed.
"""

import concurrent.futures
import json
import pathlib
import subprocess
import sys
import tempfile

# Features run in parallel; with more workers the processes of the fault features would compete
# for cores.
WORKERS = 4
# Name prefixes of features that start processes. They take longest, so they are run first.
PROCESS_FEATURES = ("faults_", "pool_faults", "pool_path", "pool_soak", "pool_takeover")
KNOWN_RED = pathlib.Path("KNOWN-RED.txt")


def read_known_red(kind: str) -> list[str]:
    """Return the scenario names in lines `<kind>: <name>`; the kind is `test` or `flaky`."""
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text().splitlines()
    prefix = f"{kind}:"
    return [line.removeprefix(prefix).strip() for line in lines if line.startswith(prefix)]


def read_statuses(report: pathlib.Path) -> dict[str, str]:
    """Return the status of each scenario by name, from a JSON report of behave."""
    status_by_name = {}
    for feature in json.loads(report.read_text() or "[]"):
        for element in feature.get("elements", []):
            if element["type"] == "background":
                continue
            status_by_name[f"{feature['name']}: {element['name']}"] = element["status"]
    return status_by_name


def evaluate(
    status_by_name: dict[str, str], known_red: list[str], flaky: list[str]
) -> tuple[int, list[str]]:
    """Return the number of passed scenarios and a list of unexpected results."""
    passed_names = [name for name, status in status_by_name.items() if status == "passed"]
    problems = [
        f"{status}: {name}"
        for name, status in status_by_name.items()
        if status != "passed" and name not in known_red and name not in flaky
    ]
    problems += [
        f"listed in {KNOWN_RED} but passes: {name}" for name in known_red if name in passed_names
    ]
    problems += [
        f"listed in {KNOWN_RED} but not run: {name}"
        for name in (*known_red, *flaky)
        if name not in status_by_name
    ]
    return len(passed_names), problems


def run_feature(feature: pathlib.Path) -> tuple[dict[str, str], str]:
    """Run one feature file; return the status of each scenario and the output of behave."""
    with tempfile.TemporaryDirectory() as temp_dir:
        report = pathlib.Path(temp_dir) / "report.json"
        command = [sys.executable, "-m", "behave", "--no-capture", "--format", "plain"]
        command += ["--outfile", "/dev/stdout", "--format", "json", "--outfile", str(report)]
        completed_process = subprocess.run(
            [*command, str(feature)],
            check=False,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        try:
            status_by_name = read_statuses(report)
        except (OSError, ValueError) as error:
            # behave exited before the report was complete.
            status_by_name = {f"{feature}: report": f"unreadable ({error})"}
    if completed_process.returncode and all(each == "passed" for each in status_by_name.values()):
        status_by_name[f"{feature}: behave"] = f"ended with status {completed_process.returncode}"
    return status_by_name, completed_process.stdout


def find_features(paths: list[str]) -> list[pathlib.Path]:
    """Return the feature files, those that start processes first."""
    features = []
    for path in map(pathlib.Path, paths):
        features += sorted(path.glob("*.feature")) if path.is_dir() else [path]
    return sorted(
        features, key=lambda each: (not each.name.startswith(PROCESS_FEATURES), each.name)
    )


def main() -> int:
    """Run behave on the given paths; return the exit status."""
    known_red, flaky = read_known_red("test"), read_known_red("flaky")
    status_by_name: dict[str, str] = {}
    features = find_features(sys.argv[1:])
    with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
        for feature, (statuses, output) in zip(
            features, pool.map(run_feature, features), strict=True
        ):
            status_by_name |= statuses
            failed = any(each != "passed" for each in statuses.values())
            print(f"{feature.name}: {len(statuses)} scenarios{', not all passed' * failed}")
            if failed:
                print(output)
    passed_count, problems = evaluate(status_by_name, known_red, flaky)
    for name in known_red:
        print(f"known red: {name}")
    for name in flaky:
        print(f"known flaky: {name}: {status_by_name.get(name, 'not run')}")
    for problem in problems:
        print(problem)
    print(f"{passed_count} passed, {len(problems)} failed")
    return 1 if problems or not passed_count else 0


if __name__ == "__main__":
    sys.exit(main())
