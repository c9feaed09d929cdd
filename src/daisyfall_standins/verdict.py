"""Run behave and turn its results into one verdict line.

Scenarios that KNOWN-RED.txt names in a line `test:` must fail; any other failing scenario, and
a listed one that passes or is gone, makes the verdict red. Those in a line `flaky:` have failed
once without a trace of the cause; they may pass or fail, and are printed either way.
"""

import concurrent.futures
import json
import pathlib
import subprocess
import sys
import tempfile

# Features run side by side; more would make the processes of the fault features wait for cores.
WORKERS = 4
# Features that start processes; they take longest.
PROCESS_FEATURES = ("faults_", "pool_faults", "pool_path", "pool_soak", "pool_takeover")
KNOWN_RED = pathlib.Path("KNOWN-RED.txt")


def read_known_red(kind: str) -> list[str]:
    """Return the scenario names in lines `<kind>: <name>`; the kind is `test` or `flaky`."""
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text().splitlines()
    prefix = f"{kind}:"
    return [line.removeprefix(prefix).strip() for line in lines if line.startswith(prefix)]


def collect(report: pathlib.Path) -> dict[str, str]:
    """Return the status of each scenario by name."""
    status_by_name = {}
    for feature in json.loads(report.read_text() or "[]"):
        for element in feature.get("elements", []):
            if element["type"] == "background":
                continue
            status_by_name[f"{feature['name']}: {element['name']}"] = element["status"]
    return status_by_name


def evaluate(
    status_by_name: dict[str, str], known: list[str], flaky: list[str]
) -> tuple[int, list[str]]:
    """Return the number of passed scenarios and the list of problems."""
    passed = [name for name, status in status_by_name.items() if status == "passed"]
    problems = [
        f"{status}: {name}"
        for name, status in status_by_name.items()
        if status != "passed" and name not in known and name not in flaky
    ]
    problems += [f"listed in {KNOWN_RED} but passes: {name}" for name in known if name in passed]
    problems += [
        f"listed in {KNOWN_RED} but not run: {name}"
        for name in (*known, *flaky)
        if name not in status_by_name
    ]
    return len(passed), problems


def run_feature(feature: pathlib.Path) -> tuple[dict[str, str], str]:
    """Run one feature file; return the status of each scenario, and what behave printed."""
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / "report.json"
        command = [sys.executable, "-m", "behave", "--no-capture", "--format", "plain"]
        command += ["--outfile", "/dev/stdout", "--format", "json", "--outfile", str(report)]
        finished = subprocess.run(
            [*command, str(feature)],
            check=False,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        try:
            status_by_name = collect(report)
        except (OSError, ValueError) as error:
            # behave ended before its report did.
            status_by_name = {f"{feature}: report": f"unreadable ({error})"}
    if finished.returncode and all(each == "passed" for each in status_by_name.values()):
        status_by_name[f"{feature}: behave"] = f"ended with status {finished.returncode}"
    return status_by_name, finished.stdout


def find_features(paths: list[str]) -> list[pathlib.Path]:
    """Return the feature files, those that start processes first."""
    found = []
    for path in map(pathlib.Path, paths):
        found += sorted(path.glob("*.feature")) if path.is_dir() else [path]
    return sorted(found, key=lambda each: (not each.name.startswith(PROCESS_FEATURES), each.name))


def main() -> int:
    """Run behave on the given paths; return the exit status."""
    known, flaky = read_known_red("test"), read_known_red("flaky")
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
    passed, problems = evaluate(status_by_name, known, flaky)
    for name in known:
        print(f"known red: {name}")
    for name in flaky:
        print(f"known flaky: {name}: {status_by_name.get(name, 'not run')}")
    for problem in problems:
        print(problem)
    print(f"{passed} passed, {len(problems)} failed")
    return 1 if problems or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
