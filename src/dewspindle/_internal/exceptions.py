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
    hint = "see `dewspindle serve --help`"


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
    hint = "read the record and send its ETag as If-Match"


class ChangeRefusedError(DewspindleError):
    """A change was refused, with the code, status and detail of its result."""

    def __init__(self, *, code: str, status: int, detail: str, revision: int = 0) -> None:
        super().__init__(detail)
        self.code = code
        self.status = status
        self.revision = revision


class NoLeaderError(DewspindleError):
    """No leader could be reached within the timeout."""

    code = "no-leader"
    status = 503
    hint = "resend with the same Idempotency-Key; the outcome is kept"


class FencedError(DewspindleError):
    """The cell state of this instance is too old to serve requests from."""

    code = "fenced"
    status = 503
    hint = "resend to another instance"


class NotLeaderError(DewspindleError):
    """This instance is not the leader, or lost leadership before the change was committed."""

    code = "not-leader"
    status = 503


class OutcomeUnknownError(DewspindleError):
    """A change was proposed, but it is not known whether it was committed."""

    code = "outcome-unknown"
    status = 504
    hint = "resend with the same Idempotency-Key; the outcome is kept"


class ConfigNotAppliedError(DewspindleError):
    """A configuration was accepted, but some live instances have not applied it yet."""

    code = "not-in-force-yet"
    status = 504
    hint = "the change is committed; see `dewspindle status` for the instances that lag"


class CorruptLogError(DewspindleError):
    """The log is corrupt before its last entry."""

    code = "damaged-log"
    hint = "move the data folder away and start again, to join with a copy from a peer"


class CorruptFileError(DewspindleError):
    """A file in the data folder does not match its checksum."""

    code = "damaged-file"
    hint = "move the data folder away and start again, to join with a copy from a peer"


class DiskFullError(DewspindleError):
    """The disk has no space for another log entry."""

    code = "disk-full"
    status = 507
    hint = "free space on the disk of the data folder"


class SyncFailedError(DewspindleError):
    """A sync of the data folder failed, so the contents of the disk are unknown."""

    code = "sync-failed"
    hint = "check the disk; the instance must restart"


class UnknownCommandError(DewspindleError):
    """The log holds a command that this version of the program does not support."""

    code = "unknown-command"
    hint = "upgrade this instance"


class ServerUnreachableError(DewspindleError):
    """The operator interface did not respond."""

    code = "server-unreachable"
    hint = "check --server and that the instance runs"
