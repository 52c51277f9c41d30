import asyncio
import json
import re
from dataclasses import dataclass
from unittest import mock

import anyio.lowlevel
import structlog.testing
from behave import given, then, when
from typer.testing import CliRunner

from dewspindle._internal.cli.main import app as command_line
from dewspindle._internal.exceptions import NotLeaderError
from dewspindle._internal.http.leader_views_app import LeaderViewsApp
from dewspindle._internal.http.problems import send_value
from dewspindle._internal.http.server import HttpServer
from dewspindle._internal.jobs.planning import JobPlanner
from dewspindle._internal.schema import peers_pb2, resources_pb2
from dewspindle._internal.utils.key_digests import compute_key_digest
from dewspindle._internal.utils.local_ports import reserve_address
from dewspindle._internal.utils.metrics import Metrics
from dewspindle._internal.utils.refusals import Refusal
from features.lib.job_cell import PREFIX
from features.steps.job_request_steps import put_table, send
from features.steps.job_steps import allocate_job_id, make_plan, make_step


@given("the viewed teams {teams}")
@when("the viewed teams are only {teams}")
def given_viewed_teams(context, teams):
    def set_teams(table):
        del table.teams[:]
        table.requires_keys = True
        for name, weight, cap in (text.split(":") for text in teams.split()):
            team = table.teams.add(name=name, weight=float(weight))
            team.cap.CopyFrom(resources_pb2.Resources(processors=int(cap)))
            team.key_digests.append(compute_key_digest(f"key-of-{name}"))

    put_table(context, set_teams)


def send_as(context, team, call, job_id):
    return send(context, call, PREFIX + job_id, key_digest=compute_key_digest(f"key-of-{team}"))


@when("team {team} submits a {kind:w} of {count:d} tasks")
def when_team_submits(context, team, kind, count):
    job_id = allocate_job_id(context)
    context.cell.fleet.plans[job_id] = make_plan(make_step(count, gang=kind == "gang"), run_s=8.0)
    with structlog.testing.capture_logs() as lines:
        send_as(context, team, peers_pb2.JOB_SUBMIT, job_id)
    context.lines = [*getattr(context, "lines", []), *lines]


@when("team {team} reads the last job")
def when_read(context, team):
    assert send_as(context, team, peers_pb2.JOB_READ, context.last_job).status == 403


@given("workers that lose their answers")
def given_lossy(context):
    for worker in context.cell.fleet.workers:
        worker.loses_answers = True


async def send_fallback(scope, receive, send):
    await send_value(send, 299, {})


def ask(context, node, path, *, method="GET", leader=""):
    """Send a request for a view to a replica, and return the status and the body."""
    make_view = node.job_leader_services.make_view
    app = LeaderViewsApp(send_fallback, make_view=make_view, find_leader=lambda: leader)
    messages = []

    async def send(message):
        messages.append(message)

    context.run(app({"type": "http", "method": method, "path": path}, None, send))
    return messages[0]["status"], json.loads(messages[1]["body"])


@then("the view of team {team} shows")
def then_view_shows(context, team):
    _, body = ask(context, context.cell.leader, "/v1/teams")
    (shown,) = [entry for entry in body["teams"] if entry["team"] == team]
    for cell in [*context.table.headings, *(c for row in context.table for c in row)]:
        name, _, value = cell.partition(": ")
        assert shown[name] == json.loads(value), (cell, shown)


@then("counters are kept for {count:d} team")
def then_counters(context, count):
    reporter = context.cell.leader.job_leader_services._state.team_reporter
    assert len(reporter._counters) == count


@then(
    "the log has {low:d} to {high:d} lines on the cap of team {team}, of {used:d} millicores used "
    "and {waiting:d} waiting"
)
def then_cap_logged(context, low, high, team, used, waiting):
    lines = [line for line in context.lines if line["event"] == "steps wait for their team's cap"]
    assert low <= len(lines) <= high, context.lines
    last = lines[-1]
    assert (last["team"], last["cap"]) == (team, {"processors": used}), last
    assert last["used"].startswith(f"{used} millicores"), last
    assert last["waiting"].startswith(f"{waiting} millicores"), last


@when("a follower that knows {named} as the leader is asked for {path}")
def when_follower_asked(context, named, path):
    follower = next(node for node in context.cell.nodes if not node.is_leader)
    leader = "" if named == "nobody" else named
    context.answer = ask(context, follower, path, leader=leader)


@then("its answer has status {status:d} and names {named}")
def then_named(context, status, named):
    answered, body = context.answer
    assert (answered, body["code"]) == (status, "not-leader"), body
    assert body["leader_address"] == (None if named == "nobody" else named), body


@then("the leader answers {method} {path} with status {status:d}")
def then_status(context, method, path, status):
    answered, body = ask(context, context.cell.leader, path, method=method)
    assert answered == status, body


@dataclass
class Learned:
    kinds: tuple
    age_s: float
    slow: dict


@when("the planner describes interference by {what}")
def when_described(context, what):
    learned = Learned(("a", "b"), float("inf"), {("w", 1): 0.55})
    value = learned if what == "dataclasses" else compute_key_digest("key-of-small")
    model = mock.Mock(describe=lambda: value)
    patch = mock.patch.object(JobPlanner, "interference", model, create=True)
    patch.start()
    context.closers.append(patch.stop)


@then("the view of interference is {value}")
def then_interference(context, value):
    _, body = ask(context, context.cell.leader, "/v1/interference")
    assert body["interference"] == json.loads(value), body


@then("no key and no digest of a key is in the views, the metrics or the log")
def then_no_key(context):
    metrics = context.cell.leader.job_leader_services._metrics.render().decode()
    text = f"{context.lines} {ask(context, context.cell.leader, '/v1/teams')} {metrics}"
    for needed in ("key-unknown", "job accepted", "dominant_share", 'team="small"'):
        assert needed in text, needed
    for key in ("key-of-small", "key-of-large", "key-of-nobody"):
        digest = compute_key_digest(key)
        assert not any(form in text for form in (key, digest.hex(), str(digest)[2:-1])), key


@then(
    "of {count:d} teams with {jobs:d} accepted jobs and {refusals:d} refusal each, {labeled:d} "
    "have labels and {others:d} are counted as other"
)
def then_labels(context, count, jobs, refusals, labeled, others):
    metrics = Metrics(instance="i", zone="z")
    for team in [f"team-{number}" for number in range(count)]:
        for _ in range(jobs):
            metrics.count_team_job(team, is_beyond_share=False)
        metrics.count_team_refusal(team, Refusal.BEYOND_SHARE)
    text = metrics.render().decode()
    for name, each in (("jobs", jobs), ("refusals", refusals)):
        found = re.findall(
            rf'^dewspindle_team_{name}_total{{.*team="([^"]+)".*}} (\S+)', text, re.M
        )
        values = {team: float(value) for team, value in found}
        assert len(values) == labeled + 1, values
        assert values.pop("other") == others * each
        assert set(values.values()) == {each}


@given("a replica that names {named} as the leader")
def given_other_replica(context, named):
    context.second = reserve_address()
    first, entry = context.metrics_addresses
    leader = {"the other": first, "itself": context.second, "the entry": entry}[named]
    make_view = mock.Mock(side_effect=NotLeaderError("this replica does not lead"))

    async def begin():
        app = LeaderViewsApp(send_fallback, make_view=make_view, find_leader=lambda: leader)
        context.running.append(asyncio.ensure_future(HttpServer(app, address=context.second).run()))
        while context.instances[0].leader_services._state is None:
            await anyio.lowlevel.checkpoint()

    context.run(begin())


@when("the command {command} with --output {output} asks that replica")
def when_command_asks(context, command, output):
    arguments = [command, "--server", context.second, "--output", output]
    context.result = context.run(asyncio.to_thread(CliRunner().invoke, command_line, arguments))


@then('it ends with status {status:d} and prints "{text}"')
def then_ends(context, status, text):
    result = context.result
    assert result.exit_code == status, (result.exit_code, result.output, result.exception)
    assert text in result.output, result.output
