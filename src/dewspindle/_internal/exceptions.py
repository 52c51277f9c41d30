"""Exceptions with a stable code, an HTTP status, a description and a hint."""


class DewspindleError(Exception):
    """Base class of all errors that are reported to users or clients."""

    code = "internal-error"
    status = 500
    hint = ""

    def __init__(self, detail: str, *, hint: str | None = None) -> None:
        super().__init__(detail)
        self.detail = detail
        if hint is not None:
            self.hint = hint

    def __str__(self) -> str:
        text = f"{self.code}: {self.detail}"
        return f"{text} ({self.hint})" if self.hint else text


class InvalidSettingError(DewspindleError):
    """A setting is missing, malformed, out of range or conflicts with another."""

    code = "invalid-setting"
    status = 400
    hint = "see `dewspindle serve --help`, or the settings file of a platform program"


class InvalidDocumentError(DewspindleError):
    """A document does not match its schema."""

    code = "invalid-document"
    status = 422

    def __init__(self, detail: str, *, field: str = "", hint: str | None = None) -> None:
        super().__init__(detail, hint=hint)
        self.field = field


class MalformedBodyError(DewspindleError):
    """A request body is not a JSON object."""

    code = "malformed-body"
    status = 400
    hint = "send one JSON object in UTF-8"

    def __init__(self, detail: str, *, line: int = 0, hint: str | None = None) -> None:
        super().__init__(detail, hint=hint)
        self.line = line  # Of the first syntax error; 0 if it is not known.


class UnknownSchemaVersionError(InvalidDocumentError):
    """A record names a schema version that this program does not support."""

    code = "unknown-schema-version"
    hint = "this version reads schema versions 1 and 2"


class BodyTooLargeError(DewspindleError):
    """A request body exceeds the size limit."""

    code = "body-too-large"
    status = 413


class UnauthorizedError(DewspindleError):
    """A request has no valid token."""

    code = "unauthorized"
    status = 401
    hint = "send `Authorization: Bearer TOKEN`"


class ForbiddenError(DewspindleError):
    """The token allows reading but not changes."""

    code = "forbidden"
    status = 403
    hint = "use the operator token"


class NotFoundError(DewspindleError):
    """The requested object does not exist."""

    code = "not-found"
    status = 404


class InvalidRequestError(DewspindleError):
    """A request header, query parameter or path is missing or malformed."""

    code = "missing-header"
    status = 400


class PreconditionRequiredError(DewspindleError):
    """A change does not name the revision that it replaces."""

    code = "precondition-required"
    status = 428
    hint = "read the record or configuration and send its ETag as If-Match"


class ChangeRefusedError(DewspindleError):
    """A change was refused, with the code, status, detail and revision of its result."""

    def __init__(self, *, code: str, status: int, detail: str, revision: int = 0) -> None:
        super().__init__(detail)
        self.code = code
        self.status = status
        self.revision = revision


class NoLeaderError(DewspindleError):
    """No leader could be reached within the timeout."""

    code = "no-leader"
    status = 503
    hint = "resend with the same Idempotency-Key, if the request had one; the outcome is kept"


class FencedError(DewspindleError):
    """The cell state of this instance is too old to serve requests from, or it is shutting down."""

    code = "fenced"
    status = 503
    hint = "resend to another instance"


class NotLeaderError(DewspindleError):
    """A request was refused and may be retried; a proposed change was certainly not committed.

    Mostly this replica does not lead, or its leader lease has ended. Other reasons are overload,
    a request meant for another replica or cell, and a membership change that has to wait.
    """

    code = "not-leader"
    status = 503


class MethodNotAllowedError(DewspindleError):
    """A request has a method that its path does not support."""

    code = "method-not-allowed"
    status = 405


class OutcomeUnknownError(DewspindleError):
    """A change was proposed, but it is not known whether it was committed."""

    code = "outcome-unknown"
    status = 504
    hint = "resend with the same Idempotency-Key, if the request had one; the outcome is kept"


class ConfigNotAppliedError(DewspindleError):
    """A configuration was committed, but some ready instances have not applied it yet."""

    code = "not-in-force-yet"
    status = 504
    hint = "the change is committed; see `dewspindle status` for the instances that lag"


class CorruptLogError(DewspindleError):
    """The log is damaged other than by a torn end, or lacks entries."""

    code = "damaged-log"
    hint = "move the data folder away and start again; the other replicas, if any, have the state"


class CorruptFileError(DewspindleError):
    """A file in the data folder does not match its checksum."""

    code = "damaged-file"
    hint = "move the data folder away and start again; the other replicas, if any, have the state"


class DiskFullError(DewspindleError):
    """The disk of the data folder has no space for a write."""

    code = "disk-full"
    status = 507
    hint = "free space on the disk of the data folder"


class StateFullError(DewspindleError):
    """The cell state has reached its limit, so nothing is accepted that it would grow by."""

    code = "state-full"
    status = 507
    hint = "wait until ended work is forgotten, or raise --max-state-bytes where the disks allow it"


class TooManyWorkersError(DewspindleError):
    """As many workers are known as a cell can hold, so no new one is recorded."""

    code = "too-many-workers"
    status = 503
    hint = "workers that have gone are forgotten after some seconds without heartbeats"


class SyncFailedError(DewspindleError):
    """A write or sync of the data folder failed, so the contents of the disk are unknown."""

    code = "sync-failed"
    hint = "check the disk; the instance must restart"


class UnknownCommandError(DewspindleError):
    """The log holds a command, or a snapshot has a format, that this version does not support."""

    code = "unknown-command"
    hint = "upgrade this instance"


class ServerUnreachableError(DewspindleError):
    """An HTTP server (an instance, a worker or the advisor) gave no usable response."""

    code = "server-unreachable"
    hint = "check the address (for a command, --server) and that the server runs"


class ServerNotConnectedError(ServerUnreachableError):
    """No connection to an HTTP server could be opened, so it received nothing."""
