import json
import random
from itertools import chain

from behave import given, then, when
from hypothesis import HealthCheck, settings, strategies
from hypothesis import given as generate

from bench.scheduling_state import BenchState
from dewspindle._internal.models.resources import NO_RESOURCES, Amounts, make_amounts
from dewspindle._internal.models.tasks import ACTIVE_TASK_STATES, FINAL_RECORD_STATES
from dewspindle._internal.scheduling.explain import explain_waiting
from dewspindle._internal.scheduling.planner import Planner
from dewspindle._internal.schema import cell_pb2, resources_pb2
from dewspindle._internal.utils.budgets import RetryBudget

ACTIONS = ("submit", "place", "report", "fail", "lose", "see", "shrink", "cancel", "change")


class RandomRun:
    """Random commands applied to a cell state and followed by a planner, with checks of both."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.bench = BenchState(seed=seed)
        self.state = self.bench.state
        self.bench.add_workers(6, zones=3)
        self.planner = self.bench.make_planner()
        self.submitted = []

    def act(self, action):
        getattr(self, f"do_{action}")()
        for worker_info in self.state.worker_table:
            self.planner.index.update(worker_info)
        for record_id in self.submitted:
            record = self.state.open_records.get(record_id)
            if record is not None:
                self.planner.sync_record(record)
            else:
                self.planner.waiting.remove(record_id)
        self.check()

    def do_submit(self):
        kind = self.rng.choice(("batch", "service", "gang"))
        record_id = self.bench.submit(self.rng.randrange(1, 9), kind=kind, teams=3)
        if record_id:
            self.submitted.append(record_id)

    def do_place(self):
        plan = self.planner.make_plan()
        body = cell_pb2.PlaceTasks(assignments=plan.assignments)
        self.bench.apply(cell_pb2.Command(place_tasks=body))
        self.planner.resync(plan.assignments)

    def choose_task(self):
        active_tasks = [
            (record, task)
            for record in self.state.open_records.values()
            for task in record.tasks
            if task.state in ACTIVE_TASK_STATES
        ]
        return self.rng.choice(active_tasks) if active_tasks else (None, None)

    def report(self, state):
        record, task = self.choose_task()
        if record is None:
            return
        # Some reports are late and carry the previous epoch.
        epoch = task.epoch - (self.rng.random() < 0.2)
        task_report = cell_pb2.TaskReport(
            record=record.id, index=task.index, epoch=epoch, state=state, reason="random"
        )
        body = cell_pb2.ReportTasks(worker=task.worker, session="s", reports=[task_report])
        self.bench.apply(cell_pb2.Command(report_tasks=body))

    def do_report(self):
        self.report(self.rng.choice(("running", "succeeded", "stopped", "checkpointed")))

    def do_fail(self):
        self.report("failed")

    def choose_worker(self):
        return self.rng.choice([worker_info.message for worker_info in self.state.worker_table])

    def do_lose(self):
        body = cell_pb2.LoseWorker(worker=self.choose_worker().id, session="s")
        self.bench.apply(cell_pb2.Command(lose_worker=body))

    def do_see(self, processors=None):
        """Record a worker again, with changed processors if given."""
        worker_update = cell_pb2.Worker()
        worker_update.CopyFrom(self.choose_worker())
        del worker_update.failed_records[:]
        if processors is not None:
            worker_update.capacity.processors = processors
        self.bench.apply(cell_pb2.Command(see_worker=cell_pb2.SeeWorker(worker=worker_update)))

    def do_shrink(self):
        self.do_see(processors=self.rng.choice((1000, 8000, 32000)))

    def do_cancel(self):
        if self.submitted:
            body = cell_pb2.CancelRecords(ids=[self.rng.choice(self.submitted)])
            self.bench.apply(cell_pb2.Command(cancel_records=body))

    def do_change(self):
        if not self.submitted:
            return
        record = self.state.records[self.rng.choice(self.submitted)]
        changed = cell_pb2.Record()
        changed.CopyFrom(record)
        changed.task_count = self.rng.randrange(1, 9)
        body = cell_pb2.ChangeRecord(id=record.id, if_revision=record.revision, record=changed)
        self.bench.apply(cell_pb2.Command(change_record=body))

    def check(self):
        self.check_accounts()
        self.check_records()

    def check_accounts(self):
        """Check reservations and waiting counts against the tasks and the largest capacity."""
        reserved_by_worker = {}
        usage = {}
        waiting = {}
        for record in self.state.records.values():
            for task in record.tasks:
                if task.state in ACTIVE_TASK_STATES:
                    amounts = make_amounts(task.reserved)
                    reserved_by_worker.setdefault(task.worker, []).append(amounts)
                    usage[record.team] = usage.get(record.team, NO_RESOURCES) + amounts
                waiting.setdefault(record.team, 0)
                waiting[record.team] += task.state == cell_pb2.TASK_PENDING
        for worker_info in self.state.worker_table:
            used = sum(reserved_by_worker.get(worker_info.message.id, []), NO_RESOURCES)
            assert used == worker_info.used, worker_info.message.id
            assert used.fits_in(Amounts(32_000, 131_072)), worker_info.message.id
        for team, amounts in usage.items():
            assert self.state.team_usage[team] == amounts, team
        for team, count in waiting.items():
            assert self.state.team_waiting[team] == count, team

    def check_records(self):
        """Check that each record is placed, waits with a reason, or has ended with one.

        Also check that a snapshot restores the same state.
        """
        for record in self.state.records.values():
            states = [task.state for task in record.tasks]
            if record.state in FINAL_RECORD_STATES:
                assert record.reason
                assert cell_pb2.TASK_PENDING not in states, record.id
                continue
            if cell_pb2.TASK_PENDING in states:
                assert explain_waiting(self.state, record), record.id
            if record.kind == "gang":
                self.check_gang(record, states)
        snapshot = cell_pb2.CellSnapshot.FromString(self.state.serialize())
        restored = type(self.state)()
        restored.restore(snapshot)
        assert restored.serialize() == self.state.serialize()
        assert restored.team_waiting == {t: c for t, c in self.state.team_waiting.items() if c} or (
            {t: c for t, c in restored.team_waiting.items() if c}
            == {t: c for t, c in self.state.team_waiting.items() if c}
        )

    @staticmethod
    def check_gang(record, states):
        """Check that no task of a gang waits while another is placed or runs."""
        running = {cell_pb2.TASK_PLACED, cell_pb2.TASK_RUNNING} & set(states)
        assert not (running and cell_pb2.TASK_PENDING in states), (record.id, states)


@then("{count:d} random runs keep every invariant")
def then_random_runs(context, count):
    examples = int(context.config.userdata.get("runs", count))

    @settings(
        max_examples=examples,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @generate(
        strategies.integers(0, 10_000),
        strategies.lists(strategies.sampled_from(ACTIONS), min_size=5, max_size=60),
    )
    def check(seed, actions):
        run = RandomRun(seed)
        for action in actions:
            run.act(action)

    check()


@given("a planner over {workers:d} workers in {zones:d} zones")
def given_planner(context, workers, zones):
    context.bench = BenchState()
    for number in range(workers):
        worker = cell_pb2.Worker(
            id=f"w{number}",
            zone=f"z{number % zones}",
            rack=f"r{number % zones}-{number % 2}",
            session="s",
            capacity=resources_pb2.Resources(processors=8000, memory_mb=16_384),
        )
        context.bench.apply(cell_pb2.Command(see_worker=cell_pb2.SeeWorker(worker=worker)))


def submit(context, kind, tasks, *, name="n", processors=1000):
    record = cell_pb2.Record(
        name=name,
        team="t",
        kind=kind,
        priority="normal",
        resources=resources_pb2.Resources(processors=processors, memory_mb=1024),
        max_attempts=3,
        repeatable=True,
        spread="zone",
        task_count=tasks,
    )
    body = cell_pb2.SubmitRecord(record=record)
    return context.bench.apply(cell_pb2.Command(submit_record=body))


@when("a {kind} record of {tasks:d} tasks is placed")
def when_placed(context, kind, tasks):
    result = submit(context, kind, tasks)
    context.placed = []
    if result.code:
        return
    planner = context.bench.make_planner()
    while True:
        plan = planner.make_plan()
        if not plan.assignments:
            return
        context.placed.append(list(plan.assignments))
        body = cell_pb2.PlaceTasks(assignments=plan.assignments)
        context.bench.apply(cell_pb2.Command(place_tasks=body))
        planner.resync(plan.assignments)


def count_by(context, get_key):
    counts = {}
    for assignment in chain.from_iterable(context.placed):
        worker_info = context.bench.state.worker_table.get(assignment.worker)
        counts[get_key(worker_info.message)] = counts.get(get_key(worker_info.message), 0) + 1
    return counts


@then("each zone holds {count:d} of the tasks")
def then_zone_count(context, count):
    assert count_by(context, lambda w: w.zone) == {f"z{n}": count for n in range(3)}


@then("no worker holds more than {count:d} of the tasks")
def then_worker_max(context, count):
    counts = count_by(context, lambda w: w.id)
    assert counts, "no task was placed"
    assert max(counts.values()) <= count, counts


@then("all tasks share one worker")
def then_one_worker(context):
    assert len(count_by(context, lambda w: w.id)) == 1


@then("all tasks are placed by one plan")
def then_one_plan(context):
    assert [len(batch) for batch in context.placed] == [12]


@then("no task is placed")
def then_none_placed(context):
    assert context.placed == []


@when("a small and a large batch record wait and the objective is changed to packing")
def when_objective_changes(context):
    small = submit(context, "batch", 4, name="small", processors=500)
    large = submit(context, "batch", 4, name="large", processors=8000)
    context.ids = {"small": small.id, "large": large.id}
    planner = context.bench.make_planner()
    assert planner.make_plan().assignments[0].record == small.id
    body = cell_pb2.PutConfig(name="scheduling", value=b'{"objective": "packing"}')
    context.bench.apply(cell_pb2.Command(put_config=body))
    planner = context.bench.make_planner()
    context.first_placed = planner.make_plan().assignments[0].record


@then("the large record is placed first")
def then_large_first(context):
    assert context.first_placed == context.ids["large"]


@given("worker {worker} is on probation")
def given_probation(context, worker):
    message = context.bench.state.worker_table.get(worker).message
    message.quarantined = message.probing = True


@given("a quota of {processors:d} millicores without borrowing for the team")
def given_quota(context, processors):
    quotas = {"teams": {"t": {"processors": processors, "no_borrowing": True}}}
    body = cell_pb2.PutConfig(name="quotas", value=json.dumps(quotas).encode())
    context.bench.apply(cell_pb2.Command(put_config=body))


@given("a budget of a single retry")
def given_budget(context):
    context.budget = RetryBudget(
        timers=context.bench.timers, retries_per_attempt=0, minimum_per_s=0, capacity=1
    )


@when("a {kind} record of {tasks:d} tasks that each need a whole worker is planned")
def when_whole_planned(context, kind, tasks):
    plan_record(context, kind, tasks, processors=8000)


@when("a {kind} record of {tasks:d} tasks of {processors:d} millicores is planned")
def when_planned(context, kind, tasks, processors):
    plan_record(context, kind, tasks, processors=processors)


def plan_record(context, kind, tasks, *, processors):
    context.record_id = submit(context, kind, tasks, processors=processors).id
    context.plan = context.bench.make_planner().make_plan()


@when("a batch record that failed once before is planned {count:d} times")
def when_retry_planned(context, count):
    record_id = submit(context, "batch", 1).id
    context.bench.state.records[record_id].tasks[0].failed_workers.append("w0")
    planner = Planner(context.bench.state, timers=context.bench.timers, retry_budget=context.budget)
    planner.rebuild()
    for _ in range(count):
        assert not planner.make_plan().assignments


@then("{count:d} tasks are planned")
def then_planned(context, count):
    assert len(context.plan.assignments) == count, context.plan.assignments


@then("{count:d} tasks are planned, one of them on worker {worker}")
def then_planned_on(context, count, worker):
    then_planned(context, count)
    assert [a.worker for a in context.plan.assignments].count(worker) == 1


@then("its explanation does not mention the quota")
def then_no_quota(context):
    text = explain_waiting(context.bench.state, context.bench.state.records[context.record_id])
    assert text, "the record has no explanation"
    assert "quota" not in text, text


@then("the budget still allows a retry")
def then_budget_left(context):
    assert context.budget.try_withdraw()
