"""Reasons for refusals and retries."""

from enum import Enum


class Refusal(Enum):
    """Refusal codes in responses and metrics."""

    # Records.
    LARGER_THAN_FLEET = "larger-than-fleet"
    TEAM_QUEUE_FULL = "team-queue-full"
    START_DEADLINE_PASSED = "start-deadline-passed"
    ATTEMPTS_EXHAUSTED = "attempts-exhausted"
    # Changes by operators; a reused key is also refused for calls.
    REVISION_CONFLICT = "revision-conflict"
    KEY_REUSED = "idempotency-key-reused"
    RECORD_ENDED = "record-ended"
    GANG_RUNNING = "gang-running"
    NOT_FOUND = "not-found"
    # Jobs.
    NO_QUEUE = "no-queue"
    NO_SUCH_JOB = "no-such-job"
    NOT_CONFIGURED = "not-configured"
    INVALID_JOB_ID = "invalid-job-id"
    JOB_ID_IN_USE = "job-id-in-use"
    BODY_TOO_LARGE = "body-too-large"
    NO_LEADER = "no-leader"
    KEY_UNKNOWN = "key-unknown"
    OTHER_TEAM = "other-team"
    BEYOND_SHARE = "beyond-share"
    OVERLOADED = "overloaded"
    GANG_EXCEEDS_CAP = "gang-exceeds-cap"
    STATE_FULL = "state-full"
    # Calls.
    FENCED = "fenced"
    DRAINING = "draining"
    NO_BACKEND = "no-backend"
    CALLER_LIMIT = "caller-limit"
    SERVICE_LIMIT = "service-limit"
    QUEUE_FULL = "queue-full"
    QUEUE_TIMEOUT = "queue-timeout"
    DEADLINE_PASSED = "deadline-passed"
    BACKEND_UNREACHABLE = "backend-unreachable"
    BACKEND_FAILED = "backend-failed"
    CLAIM_UNAVAILABLE = "claim-unavailable"
    OUTCOME_UNKNOWN = "outcome-unknown"


class RetryReason(Enum):
    """Retry reasons in metrics."""

    NO_LEADER = "no-leader"
    LEADER_CHANGED = "leader-changed"
    LEADER_UNREACHABLE = "leader-unreachable"
    CONNECT_FAILED = "connect-failed"
    CONNECTION_LOST = "connection-lost"
    BACKEND_REFUSED = "backend-refused"
    TASK_FAILED = "task-failed"
    WORKER_LOST = "worker-lost"
    PREEMPTED = "preempted"
    ADVICE_FAILED = "advice-failed"
    START_UNANSWERED = "start-unanswered"
    START_REJECTED = "start-rejected"
