from behave import given, then, when

from dewspindle._internal.cell.listeners import StateListener
from dewspindle._internal.exceptions import DewspindleError
from dewspindle._internal.models.resources import Amounts
from dewspindle._internal.models.tasks import FINAL_RECORD_STATES
from dewspindle._internal.schema import cell_pb2, documents_pb2, peers_pb2
from features.lib.fleet import PollingFleet
from features.lib.stepping import advance
from features.steps.replication_steps import FAULTS, make_cell, start_cell

SMALL_TASK = {"processors": 1000, "memory_mb": 1024}


@given("a cell of {replicas:d} replicas with {workers:d} workers")
def given_fleet(context, replicas, workers):
    cell = make_cell(context, replicas)
    context.fleet = PollingFleet(cell, size=workers)

    async def prepare():
        await start_cell(cell)
        context.fleet.start()
        await cell.clock.advance(2)
        assert len(list(context.fleet.get_state().worker_table)) == workers

    context.run(prepare())


def make_document(name, kind, tasks, *, command, resources=None, **fields):
    return {
        "schema_version": 2,
        "name": name,
        "team": fields.pop("team", "team"),
        "kind": kind,
        "tasks": tasks,
        "resources": resources or SMALL_TASK,
        "command": command,
        **fields,
    }


@given("documents of a service, a batch record, a gang and a batch record that is not repeatable")
def given_records(context):
    context.documents = {
        "service": make_document("service", "service", 3, command=["serve"]),
        "batch": make_document("batch", "batch", 6, command=["sleep", "2"], priority="low"),
        "gang": make_document("gang", "gang", 4, command=["sleep", "3"]),
        "once": make_document("once", "batch", 3, command=["sleep", "2"], repeatable=False),
    }


def get_name(context, task_id):
    return context.fleet.get_record(task_id.rpartition(".")[0]).name


def is_at_step(context, step, message_kind, content):
    """Return whether a poll of a worker, or the leader's answer to one, belongs to a step.

    The first poll that reports a running task is "after task start"; the third, from whichever
    worker, is "at lease renewal".
    """
    kinds = {order["kind"] for order in content.get("orders", ())}
    running = any(t["state"] == "running" for t in content.get("tasks", ()))
    orders_gang = step == "during gang start" and any(
        order["kind"] == "start" and get_name(context, order["task"]) == "gang"
        for order in content.get("orders", ())
    )
    if step == "after start order":
        return message_kind == "answer" and "start" in kinds
    if step in ("after task start", "at lease renewal"):
        context.running_polls = getattr(context, "running_polls", 0) + (
            message_kind == "poll" and running
        )
        return (
            message_kind == "poll"
            and running
            and context.running_polls >= (1 if step == "after task start" else 3)
        )
    if step == "at stop order":
        return message_kind == "answer" and "stop" in kinds
    if step == "at checkpoint order":
        return message_kind == "answer" and "checkpoint" in kinds
    return step == "during gang start" and message_kind == "answer" and orders_gang


def inject_worker_fault(context, fault, worker):
    if fault == "kill":
        worker.kill()
    elif fault == "pause":
        worker.timers.pause()
    elif fault == "cut off":
        worker.is_cut_off = True
    elif fault == "restart":
        worker.kill()
        worker.start()
    elif fault == "capacity reduction":
        worker.reduce_capacity(Amounts(1000, 1024))
    elif fault == "task failures":
        worker.fails_everything = True


def inject_fault(context, fault, victim, worker):
    context.injected.append((fault, victim))
    if victim == "leader":
        FAULTS[fault](context.cell, context.cell.leader)
    else:
        inject_worker_fault(context, fault, worker)


class CommitHook(StateListener):
    """Injects the fault when the first task is placed, before its start order is sent."""

    def __init__(self, context, fault, victim):
        self.context, self.fault, self.victim = context, fault, victim

    def on_task(self, record, task):
        if task.state != cell_pb2.TASK_PLACED or self.context.injected:
            return
        workers = {w.name: w for w in self.context.fleet.workers}
        inject_fault(self.context, self.fault, self.victim, workers[task.worker])


@when("the fault {fault} is injected on the {victim} {step}")
def when_fault_injected(context, fault, victim, step):
    fleet, cell = context.fleet, context.cell
    context.injected = []
    context.ids = {}

    def hook(worker, message_kind, content):
        if not context.injected and is_at_step(context, step, message_kind, content):
            inject_fault(context, fault, victim, worker)

    async def inject_and_submit():
        if step == "before proposal":
            inject_fault(context, fault, victim, None)
        elif step == "after commit":
            cell.leader.replica.context.view.state.subscribe(CommitHook(context, fault, victim))
        fleet.hooks.append(hook)
        for name, document in context.documents.items():
            context.ids[name] = await fleet.submit(**document)
        if step == "at stop order":
            await cell.clock.advance(1)
            await fleet.cancel(ids=[context.ids["service"]])
        if step == "at checkpoint order":
            urgent = make_document(
                "urgent",
                "batch",
                6,
                command=["sleep", "20"],
                resources={"processors": 7500, "memory_mb": 1024},
                priority="urgent",
            )
            context.ids["urgent"] = await fleet.submit(**urgent)

    context.run(inject_and_submit())


@when("{first_seconds:d} seconds pass, the fault ends, and {second_seconds:d} more pass")
def when_fault_ends(context, first_seconds, second_seconds):
    fleet, cell = context.fleet, context.cell

    async def heal():
        assert context.injected, "the fault was never injected"
        fleet.hooks.clear()
        cell.heal()
        for worker in fleet.workers:
            worker.is_cut_off = False
            worker.fails_everything = False
            if worker.timers.is_paused:
                worker.timers.resume()
            if worker.standin is None:
                worker.start()

    advance(context, first_seconds)
    context.run(heal())
    advance(context, second_seconds)


@when("{seconds:d} seconds pass")
def when_time_passes(context, seconds):
    advance(context, seconds)


def describe(record):
    states = [(t.index, cell_pb2.TaskState.Name(t.state), t.worker, t.reason) for t in record.tasks]
    return f"{record.name} {cell_pb2.RecordState.Name(record.state)} {record.reason} {states}"


@then("every record has ended with a reason or is a service whose tasks all run")
def then_ended(context):
    for name, record_id in context.ids.items():
        record = context.fleet.get_record(record_id)
        if record.state in FINAL_RECORD_STATES:
            assert record.reason, describe(record)
            continue
        assert name == "service", describe(record)
        assert all(t.state == cell_pb2.TASK_RUNNING for t in record.tasks), describe(record)


@then("each task that is not repeatable was started at most once and has ended or is unknown")
def then_started_once(context):
    record = context.fleet.get_record(context.ids["once"])
    start_counts = context.fleet.count_starts_by_task(record.id)
    assert all(count <= 1 for count in start_counts.values()), start_counts
    for task in record.tasks:
        if task.state in (cell_pb2.TASK_CANCELLED, cell_pb2.TASK_UNKNOWN):
            continue
        assert task.state in (cell_pb2.TASK_SUCCEEDED, cell_pb2.TASK_FAILED), describe(record)


@when("worker w0 fails every task and {count:d} records are submitted")
def when_worker_fails_tasks(context, count):
    fleet = context.fleet
    fleet.workers[0].fails_everything = True

    async def submit():
        context.ids = {}
        for number in range(count):
            name = f"record-{number}"
            document = make_document(
                name,
                "batch",
                2,
                command=["sleep", "1"],
                resources=dict(SMALL_TASK, processors=2000),
            )
            context.ids[name] = await fleet.submit(**document)
            await context.cell.clock.advance(1)

    context.run(submit())


@then("all {count:d} records succeed")
def then_succeed(context, count):
    assert len(context.ids) == count
    for record_id in context.ids.values():
        record = context.fleet.get_record(record_id)
        assert record.state == cell_pb2.RECORD_SUCCEEDED, describe(record)


@then("worker w0 is quarantined")
def then_quarantined(context):
    message = context.fleet.get_state().worker_table.get("w0").message
    assert message.quarantined, message


@when("a record that always fails is submitted")
def when_always_fails(context):
    document = make_document("broken", "batch", 1, command=["fail"])

    async def submit():
        context.ids = {"broken": await context.fleet.submit(**document)}

    context.run(submit())


@then("the record has failed with code {code} and a reason that names a worker")
def then_failed(context, code):
    record = context.fleet.get_record(context.ids["broken"])
    assert record.state == cell_pb2.RECORD_FAILED, describe(record)
    assert record.code == code
    assert "on w" in record.reason


@then("no worker is quarantined")
def then_none_quarantined(context):
    assert not [a for a in context.fleet.get_state().worker_table if a.message.quarantined]


WHOLE_WORKER = {"processors": 8000, "memory_mb": 8192}


@when("a service fills the fleet and a record with a start deadline of {seconds:d} s is submitted")
def when_fleet_full(context, seconds):
    async def fill():
        fleet = context.fleet
        filling = make_document("fill", "service", 6, command=["serve"], resources=WHOLE_WORKER)
        await fleet.submit(**filling)
        await context.cell.clock.advance(3)
        late = make_document("late", "batch", 1, command=["sleep", "1"], start_deadline_s=seconds)
        context.ids = {"late": await fleet.submit(**late)}

    context.run(fill())


@then("the record is refused with code {code} and the number of full workers")
def then_refused_at_deadline(context, code):
    record = context.fleet.get_record(context.ids["late"])
    assert record.state == cell_pb2.RECORD_REFUSED, describe(record)
    assert record.code == code
    assert "6 full" in record.reason, record.reason


@when("{count:d} records of one team are submitted and cancelled by one command")
def when_bulk_cancelled(context, count):
    fleet = context.fleet

    async def submit_and_cancel():
        for number in range(count):
            document = make_document(
                f"wave-{number}", "batch", 2, command=["sleep", "5"], team="wave"
            )
            context.cell.start_soon(
                fleet.propose_in_background, fleet.make_submit_command(document)
            )
        await context.cell.clock.advance(3)
        result = await fleet.cancel(team="wave")
        assert result.count > 0.9 * count, result
        context.starts_at_ack = sum(fleet.start_counts.values())

    context.run(submit_and_cancel())


@then("none of their tasks was started after the cancellation was acknowledged")
def then_no_starts(context):
    assert sum(context.fleet.start_counts.values()) == context.starts_at_ack


@then("none of their tasks runs")
def then_nothing_runs(context):
    assert not [w for w in context.fleet.workers if w.list_running_tasks()]
    assert not context.fleet.get_state().open_records


@when("tasks of low priority fill the fleet and {count:d} urgent tasks are submitted")
def when_urgent(context, count):
    async def fill():
        fleet, clock = context.fleet, context.cell.clock
        low = make_document(
            "low",
            "batch",
            48,
            command=["sleep", "600"],
            priority="low",
            resources={"processors": 1000, "memory_mb": 1024},
        )
        context.low = await fleet.submit(**low)
        await clock.advance(5)
        running = [w for w in fleet.workers if len(w.list_running_tasks()) == 8]
        assert len(running) == 6
        urgent = make_document(
            "urgent",
            "batch",
            count,
            command=["sleep", "30"],
            priority="urgent",
            resources={"processors": 3000, "memory_mb": 3072},
        )
        context.submitted_at = clock.now
        context.urgent = await fleet.submit(**urgent)

    context.run(fill())


@then("all urgent tasks run within {seconds:g} seconds of their submission")
def then_run_within(context, seconds):
    def all_run():
        record = context.fleet.get_record(context.urgent)
        return all(t.state == cell_pb2.TASK_RUNNING for t in record.tasks)

    clock = context.cell.clock
    left = context.submitted_at + seconds - clock.now
    reached = context.run(clock.advance_until(all_run, seconds=left))
    assert reached, describe(context.fleet.get_record(context.urgent))


@when(
    "team guest uses the whole fleet beyond its quota and team owner submits {count:d} tasks "
    "within its quota"
)
def when_over_quota(context, count):
    async def exceed_quota():
        fleet, clock = context.fleet, context.cell.clock
        quotas = {
            "teams": {
                "guest": {"processors": 8000, "memory_mb": 65536},
                "owner": {"processors": 40000, "memory_mb": 65536},
            }
        }
        import json

        command = cell_pb2.Command(
            key="quotas",
            put_config=cell_pb2.PutConfig(name="quotas", value=json.dumps(quotas).encode()),
        )
        await fleet._propose(command)
        guest = make_document("guest", "batch", 48, command=["sleep", "600"], team="guest")
        await fleet.submit(**guest)
        await clock.advance(5)
        owner = make_document(
            "owner",
            "batch",
            count,
            command=["sleep", "600"],
            team="owner",
            resources={"processors": 4000, "memory_mb": 2048},
        )
        context.owner = await fleet.submit(**owner)

    context.run(exceed_quota())


@then("the {count:d} tasks of team owner run")
def then_owner_runs(context, count):
    record = context.fleet.get_record(context.owner)
    running = [t for t in record.tasks if t.state == cell_pb2.TASK_RUNNING]
    assert len(running) == count, describe(record)


@when("small tasks keep the fleet full and a gang whose tasks need whole workers is submitted")
def when_gang_waits(context):
    async def fill():
        fleet, clock = context.fleet, context.cell.clock
        gang = make_document("gang", "gang", 4, command=["sleep", "2"], resources=WHOLE_WORKER)
        for number in range(40):
            small = make_document(
                f"small-{number}",
                "batch",
                24,
                command=["sleep", "4"],
                expected_run_s=4,
                resources={"processors": 2000, "memory_mb": 2048},
            )
            await fleet.submit(**small)
            await clock.advance(0.2)
        context.gang = await fleet.submit(**gang)

    context.run(fill())


@then("the gang has succeeded")
def then_gang_succeeded(context):
    record = context.fleet.get_record(context.gang)
    assert record.state == cell_pb2.RECORD_SUCCEEDED, describe(record)


@when("a batch record whose tasks use {used:d} MB is submitted")
def when_over_memory(context, used):
    document = make_document("oversized", "batch", 2, command=["sleep", "8", str(used)])
    context.used = used

    async def submit():
        context.oversized = await context.fleet.submit(**document)

    context.run(submit())


@then("the record succeeds at the first attempt")
def then_first_attempt(context):
    record = context.fleet.get_record(context.oversized)
    assert record.state == cell_pb2.RECORD_SUCCEEDED, describe(record)
    assert all(task.epoch == 1 for task in record.tasks), describe(record)


@then("the record succeeds once its tasks are given {memory:d} MB")
def then_given_more(context, memory):
    record = context.fleet.get_record(context.oversized)
    assert record.state == cell_pb2.RECORD_SUCCEEDED, describe(record)
    assert all(task.reserved.memory_mb >= memory for task in record.tasks), describe(record)
    assert any("over its memory" in decision.what for decision in record.history)


@then("the record fails with code {code} and a reason with the memory used")
def then_fails_oversized(context, code):
    record = context.fleet.get_record(context.oversized)
    assert record.state == cell_pb2.RECORD_FAILED, describe(record)
    assert record.code == code
    assert f"used {context.used} MB of the" in record.reason, record.reason


@when("a second process polls as worker {name}")
def when_second_process(context, name):
    fleet = context.fleet
    context.worker_name = name
    context.first_session = fleet.get_state().worker_table.get(name).message.session
    context.poll_error = poll_as(context, "second-process")


@when("the first process of worker {name} polls again")
def when_first_polls(context, name):
    context.poll_error = poll_as(context, context.first_session)


def poll_as(context, session):
    """Poll once as a process of a worker and return the error, or None if it was accepted."""
    message = context.fleet.get_state().worker_table.get(context.worker_name).message
    context.poll_sequence = getattr(context, "poll_sequence", 100_000) + 1
    poll = documents_pb2.PollDocument(
        session=session, sequence=context.poll_sequence, zone=message.zone, rack=message.rack
    )
    poll.capacity.processors = message.capacity.processors
    poll.capacity.memory_mb = message.capacity.memory_mb
    request = peers_pb2.RelayPollRequest(worker=context.worker_name, poll=poll)
    errors = []

    async def relay():
        try:
            await context.fleet.cell.leader.leader_services.relay_poll(request)
        except DewspindleError as error:
            errors.append(error)
        else:
            errors.append(None)

    async def start():
        context.fleet.cell.start_soon(relay)

    context.run(start())
    advance(context, 1)
    return errors[0]


@when("the leader is replaced")
def when_leader_replaced(context):
    async def kill():
        FAULTS["kill"](context.fleet.cell, context.fleet.cell.leader)

    context.run(kill())
    advance(context, 5)


@then("its poll is refused with code {code}")
def then_poll_refused(context, code):
    assert context.poll_error is not None, "the poll was accepted"
    assert context.poll_error.code == code, context.poll_error


@then("worker {name} belongs to the second process")
def then_second_process(context, name):
    message = context.fleet.get_state().worker_table.get(name).message
    assert message.session == "second-process", message
