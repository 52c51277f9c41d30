import asyncio
import copy
import json

from behave import given, then, when
from typer.testing import CliRunner

from dewspindle._internal.cli.main import app
from dewspindle._internal.utils.local_ports import reserve_address
from features.lib.cells import OPERATOR_TOKEN
from features.steps.input_steps import get_first_instance, make_poll, send
from features.steps.platform_steps import request_until

KEYS = ("k-one-8861", "k-two-5520", "k-old-7713", "k-gone-3146", "k-moved-9027")
ROUTE = {
    "name": "a",
    "host": "jobs.example",
    "path_prefix": "/a/",
    "timeout_ms": 3000,
    "target_latency_ms": 200,
    "slack_factor": 1.5,
    "service": "pool",
}
TABLE = {
    "version": 7,
    "services": [{"name": "pool"}],
    "routes": [ROUTE, {**ROUTE, "name": "b", "path_prefix": "/b/"}],
    "tenants": [
        {"name": "t", "weight": 1, "api_keys": [KEYS[0]], "cap": {"cpu": 4000}},
        {"name": "u", "weight": 2, "api_keys": [KEYS[1]], "cap": {"cpu": 2000}},
    ],
    "limits": {"max_body_bytes": 1000},
}
CAPACITY = {"processors": 4000, "memory_mb": 16000}
WORKERS = {"workers": [{"id": "w", "capacity": CAPACITY, "pool": "pool", "labels": ["ssd"]}]}
STEP = {"count": 2, "cpu": 1000, "mem_mb": 256, "estimate_ms": 900, "required_label": "ssd"}

# Changes of the second route, the second team, the step of the sample job and the whole table.
ROUTE_FAULTS = {
    "a timeout that is text": {"timeout_ms": "soon"},
    "two queues in one place": {"path_prefix": "/a/"},
    "an unknown pool": {"service": "nowhere"},
    "a host with a port": {"host": "jobs.example:80"},
    "a prefix without /": {"path_prefix": "b/"},
    "a shadowed queue": {"path_prefix": "/a/x"},
    "a pool without workers": {"service": "empty"},
    "a timeout below its target": {"timeout_ms": 199},
}
TEAM_FAULTS = {
    "a shared key": {"api_keys": [KEYS[0]]},
    "a key that is a number": {"api_keys": [5520]},
    "a cap that is text": {"cap": {"cpu": KEYS[1]}},
    "a team without keys": {"api_keys": []},
    "a cap below one task": {"cap": {"cpu": 999}},
    "a cap above the fleet": {"cap": {"mem_mb": 16001}},
}
STEP_FAULTS = {
    "a label without workers": {"required_label": "tape"},
    "a timeout below a sample": {"estimate_ms": 1867},
    "a cap below one gang": {"gang": True, "count": 3},
    "a task above all workers": {"mem_mb": 16001},
}
TABLE_FAULTS = {
    "a queue that is text": {"routes": [ROUTE, "b"]},
    "a negative body limit": {"limits": {"max_body_bytes": -1}},
    "a pool without queues": {"services": [{"name": "pool"}, {"name": "spare"}]},
    "a pool without workers": {"services": [{"name": "pool"}, {"name": "empty"}]},
    "no team": {"tenants": []},
    "weights that sum to nothing": {
        "tenants": [{**team, "weight": 0} for team in TABLE["tenants"]]
    },
}


def write(context, name, document):
    text = document if isinstance(document, str) else json.dumps(document)
    (context.folder / name).write_text(text, encoding="utf-8")


def start_check(context, *arguments):
    """Run the command; no key may be in any of its output."""
    names = {path.name for path in context.folder.iterdir()}
    paths = [str(context.folder / name) if name in names else name for name in arguments]
    command = ["config", "check", *paths]
    # The command runs an event loop of its own, and a cell of the scenario needs its loop.
    context.result = context.run(asyncio.to_thread(CliRunner().invoke, app, command))
    for key in KEYS:
        assert key not in context.result.output, f"the output has the key {key}"
        assert key not in str(context.result.exception), f"the error has the key {key}"


def check_table(context, *arguments, workers=True):
    write(context, "table.json", context.queue_table)
    write(context, "job.json", context.job)
    if workers:
        sample = f"{context.sample_queue}={context.folder / 'job.json'}"
        arguments = ("--workers", "workers.json", "--sample", sample, *arguments)
    start_check(context, "table.json", "--output", "json", *arguments)


@given("a queue table without faults and a list of its workers")
def given_table(context):
    context.queue_table = copy.deepcopy(TABLE)
    context.job = {"steps": [dict(STEP)]}
    context.sample_queue = "a"
    write(context, "workers.json", WORKERS)


@given("the queue table has {fault}")
def given_fault(context, fault):
    known = {**ROUTE_FAULTS, **TEAM_FAULTS, **STEP_FAULTS, **TABLE_FAULTS}
    context.queue_table |= TABLE_FAULTS.get(fault, {})
    if fault in ROUTE_FAULTS:
        context.queue_table["routes"][1] |= ROUTE_FAULTS[fault]
    if fault in TEAM_FAULTS:
        context.queue_table["tenants"][1] |= TEAM_FAULTS[fault]
    context.job["steps"][0] |= STEP_FAULTS.get(fault, {})
    if fault == "a missing comma":
        context.queue_table = json.dumps(context.queue_table, indent=1).replace('",\n', '"\n', 1)
    elif fault == "a list as its body":
        context.queue_table = [context.queue_table]
    elif fault == "a sample of no queue":
        context.sample_queue = "nowhere"
    else:
        assert fault in known, fault


@given("the version in force differs in each kind of entry")
def given_difference(context):
    first, second = context.queue_table["tenants"]
    second["api_keys"] = [KEYS[1], KEYS[4]]
    removed = {**second, "name": "gone", "api_keys": [KEYS[3]]}
    in_force = {
        "version": 6,
        "services": [{"name": "pool", "enforce_capacity": True}],
        "routes": [
            {**ROUTE, "name": "old", "path_prefix": "/old/"},
            {**ROUTE, "target_latency_ms": 5, "public": True},
        ],
        "tenants": [removed, {**second, "api_keys": [KEYS[1], KEYS[2], "x"], "cap": {"cpu": 1}}],
        "limits": {"max_body_bytes": 9},
    }
    assert first["name"] not in {team["name"] for team in in_force["tenants"]}
    write(context, "in-force.json", in_force)


@given("the file has version {version:d} and a change")
def given_version(context, version):
    context.queue_table |= {"version": version, "limits": {"max_body_bytes": 1001}}


@given("the version in force is 7 and the file has version {version:d} and a change")
def given_both_versions(context, version):
    write(context, "in-force.json", TABLE)
    given_version(context, version)


@given("the replica has the queue table in force")
def given_in_force(context):
    async def replace():
        await request_until(context.control, "POST", "/Config.Replace", body=TABLE)
        await request_until(context.control, "GET", "/Config.Read")

    context.run(replace())


@given("a worker of the live cell and the quotas of its team are in force")
def given_quotas(context):
    quotas = {"teams": {"t": {"processors": 4000}}}
    poll = make_poll(capacity=CAPACITY)

    async def begin():
        instance = get_first_instance(context)
        headers = {"If-None-Match": "*"}
        polled = await instance.caller.request("POST", "/v1/workers/w/poll", body=poll)
        # The change is answered once this instance has applied it, and so the poll before it.
        path = "/v1/config/quotas?wait=in-force"
        changed = await send(context, "PUT", path, quotas, headers=headers)
        assert (polled.status, changed.status) == (200, 200), (polled, changed)

    context.run(begin())


@when("the queue table is checked")
def when_checked(context):
    check_table(context)


@when("the queue table is checked against the version in force")
def when_compared(context):
    check_table(context, "--against", "in-force.json")


@when("the queue table is checked against the replica")
def when_compared_with_replica(context):
    check_table(context, "--cell", context.control_address)


@when("the queue table is checked against an address on which nothing listens")
def when_unreachable(context):
    check_table(context, "--cell", reserve_address())


@when("the queue table is checked without a list of workers")
def when_checked_alone(context):
    write(context, "table.json", context.queue_table)
    start_check(context, "table.json")


@when("the queue table is checked with its output as text")
def when_checked_as_text(context):
    write(context, "table.json", context.queue_table)
    start_check(context, "table.json", "--workers", "workers.json")


@when("the configuration {name} is checked with {document}")
def when_config_checked(context, name, document):
    write(context, "file.json", document)
    start_check(
        context, "file.json", "--name", name, "--workers", "workers.json", "--output", "json"
    )


@when("the quotas with a change are checked against the live cell")
def when_quotas_compared(context):
    write(context, "file.json", {"teams": {"t": {"processors": 5000}}})
    address = get_first_instance(context).operator_address
    options = ["--cell", address, "--token", OPERATOR_TOKEN, "--output", "json"]
    start_check(context, "file.json", "--name", "quotas", *options)


@when('a check is started with "{arguments}"')
def when_started(context, arguments):
    write(context, "table.json", context.queue_table)
    write(context, "job.json", context.job)
    write(context, "list.json", [KEYS[0]])
    (context.folder / "not-utf-8.json").write_bytes(b"\xff" + KEYS[0].encode())
    words = arguments.replace("a=list.json", f"a={context.folder / 'list.json'}").split()
    start_check(context, *words)


@then("the exit status is {status:d}")
def then_status(context, status):
    result = context.result
    assert result.exit_code == status, (result.exit_code, result.output, result.exception)


@then('the only findings are "{finding}"')
def then_finding(context, finding):
    findings = json.loads(context.result.stdout)["findings"]
    shown = [" ".join(f"{f['severity']} {f['path']} {f['code']}".split()) for f in findings]
    assert shown == [" ".join(finding.split())], findings
    assert all(f["message"] and f["hint"] for f in findings), findings


@then('the only findings are ""')
def then_no_finding(context):
    assert json.loads(context.result.stdout)["findings"] == []


@then("the only findings are")
def then_findings(context):
    findings = json.loads(context.result.stdout)["findings"]
    shown = [f"{f['severity']} {f['path']} {f['code']} {f['message']}" for f in findings]
    assert sorted(shown) == sorted(row["finding"] for row in context.table), shown


@then("the text names {code} as not checked without the workers")
def then_not_checked(context, code):
    lines = context.result.stdout.splitlines()
    assert any(
        line.startswith("not checked without the workers: ") and code in line for line in lines
    ), lines


@then("the text names the finding {code} at {path}")
def then_text(context, code, path):
    assert f"warning {path}: {code}: " in context.result.stdout, context.result.stdout
