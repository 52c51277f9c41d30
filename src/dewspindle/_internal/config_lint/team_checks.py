"""Checks of the teams of a queue table."""

from collections.abc import Iterator

from ..schema import jobs_pb2
from .findings import CheckInput, Need, Path, Severity, Violation
from .fleet import Fleet
from .registry import QUEUE_TABLE, register_check

TableInput = CheckInput[jobs_pb2.QueueTable]
AMOUNT_NAMES = ("processors", "memory_mb", "accelerators")


def find_amounts_above_fleet(
    path: Path, owner: str, limits: object, fleet: Fleet
) -> Iterator[Violation]:
    """Report the limits that exceed what all workers have together; 0 sets no limit."""
    for name in AMOUNT_NAMES:
        limit = getattr(limits, name)
        available = getattr(fleet.capacity, name)
        if limit > available:
            yield Violation(
                (*path, name),
                f"{owner} may use {limit}, but the {len(fleet.workers)} workers have {available}",
            )


@register_check(
    "keys-without-teams",
    config=QUEUE_TABLE,
    severity=Severity.ERROR,
    meaning="Keys are required, but there is no team: queues that are not public refuse everyone.",
    hint="add a team, or remove the empty list",
)
def _check_any_team(subject: TableInput) -> Iterator[Violation]:
    table = subject.document
    if table.requires_keys and not table.teams and not all(q.is_public for q in table.queues):
        yield Violation(("teams",), "the list of teams is empty, so no key is accepted")


@register_check(
    "team-without-key",
    config=QUEUE_TABLE,
    severity=Severity.WARNING,
    meaning="A team has no key, so no request can come from it.",
    hint="add a key, or remove the team",
)
def _check_team_keys(subject: TableInput) -> Iterator[Violation]:
    for number, team in enumerate(subject.document.teams):
        if not team.key_digests:
            yield Violation(("teams", number, "key_digests"), f"team {team.name!r} has no key")


@register_check(
    "weights-sum-to-zero",
    config=QUEUE_TABLE,
    severity=Severity.ERROR,
    meaning="No team has a weight, so none is entitled to a share or a rate of jobs.",
    hint="give each team a weight: its share, and the jobs a second that it is entitled to",
)
def _check_weights(subject: TableInput) -> Iterator[Violation]:
    teams = subject.document.teams
    if teams and not any(team.weight for team in teams):
        yield Violation(("teams",), f"the weights of {len(teams)} teams sum to 0")


@register_check(
    "cap-above-fleet",
    config=QUEUE_TABLE,
    severity=Severity.WARNING,
    meaning="The cap of a team is above what all workers have together, so it limits nothing.",
    hint="lower the cap, or set 0 for no limit",
    needs=(Need.WORKERS,),
)
def _check_caps(subject: TableInput) -> Iterator[Violation]:
    for number, team in enumerate(subject.document.teams):
        yield from find_amounts_above_fleet(
            ("teams", number, "cap"),
            f"team {team.name!r}",
            team.cap,
            subject.require_fleet(),
        )
