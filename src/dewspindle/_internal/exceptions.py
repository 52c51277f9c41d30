"""Errors of the program, each with a stable code, what happened and what to do."""


class DewspindleError(Exception):
    """Base of all errors that are shown to a person or to a client."""

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
    """A setting is missing, malformed, out of range or contradicts another."""

    code = "invalid-setting"
    status = 400
    hint = "see `dewspindle serve --help`"


class InvalidDocumentError(DewspindleError):
    """A document is not what its schema says."""

    code = "invalid-document"
    status = 422

    def __init__(self, detail: str, *, field: str = "", hint: str | None = None) -> None:
        super().__init__(detail, hint=hint)
        self.field = field


class MalformedBodyError(DewspindleError):
    """A body is not JSON, or not a JSON object."""

    code = "malformed-body"
    status = 400
    hint = "send one JSON object in UTF-8"


class UnknownSchemaVersionError(InvalidDocumentError):
    """A record names a schema version that this program does not know."""

    code = "unknown-schema-version"
    hint = "this version reads schema versions 1 and 2"


class BodyTooLargeError(DewspindleError):
    """A body is larger than the limit."""

    code = "body-too-large"
    status = 413


class UnauthorizedError(DewspindleError):
    """A request came without a valid token."""

    code = "unauthorized"
    status = 401
    hint = "send `Authorization: Bearer TOKEN`"


class ForbiddenError(DewspindleError):
    """The token may read but not change."""

    code = "forbidden"
    status = 403
    hint = "use the operator token"


class NotFoundError(DewspindleError):
    """The named thing does not exist."""

    code = "not-found"
    status = 404


class MissingHeaderError(DewspindleError):
    """A required request header is missing or malformed."""

    code = "missing-header"
    status = 400


class PreconditionRequiredError(DewspindleError):
    """A change came without the revision that it replaces."""

    code = "precondition-required"
    status = 428
    hint = "read the record and send its ETag as If-Match"


class ChangeRefusedError(DewspindleError):
    """A change was decided against; the code, status and detail come from the decision."""

    def __init__(self, *, code: str, status: int, detail: str, revision: int = 0) -> None:
        super().__init__(detail)
        self.code = code
        self.status = status
        self.revision = revision


class NoLeaderError(DewspindleError):
    """No leader could be reached in time."""

    code = "no-leader"
    status = 503
    hint = "resend with the same Idempotency-Key; the outcome is kept"


class FencedError(DewspindleError):
    """This instance has no fresh revision and does not serve."""

    code = "fenced"
    status = 503
    hint = "resend to another instance"


class NotLeaderError(DewspindleError):
    """This instance does not lead, or lost the lead before the change was committed."""

    code = "not-leader"
    status = 503


class OutcomeUnknownError(DewspindleError):
    """A change was proposed, but whether it was committed is not known yet."""

    code = "outcome-unknown"
    status = 504
    hint = "resend with the same Idempotency-Key; the outcome is kept"


class ConfigNotAppliedError(DewspindleError):
    """A configuration was accepted, but some live instance has not shown it yet."""

    code = "not-in-force-yet"
    status = 504
    hint = "the change stands; see `dewspindle status` for the instances that lag"


class CorruptLogError(DewspindleError):
    """The log holds damage before its end."""

    code = "damaged-log"
    hint = "move the data folder away and start again, to join with a copy from a peer"


class CorruptFileError(DewspindleError):
    """A file of the data folder does not match its checksum."""

    code = "damaged-file"
    hint = "move the data folder away and start again, to join with a copy from a peer"


class DiskFullError(DewspindleError):
    """The disk has no room for another entry."""

    code = "disk-full"
    status = 507
    hint = "make room on the disk of the data folder"


class SyncFailedError(DewspindleError):
    """A sync of the data folder failed, so what is on the disk is not known."""

    code = "sync-failed"
    hint = "check the disk; the instance must restart"


class UnknownCommandError(DewspindleError):
    """The log holds a command that this version of the program does not know."""

    code = "unknown-command"
    hint = "upgrade this instance"


class ServerUnreachableError(DewspindleError):
    """The operator interface did not answer."""

    code = "server-unreachable"
    hint = "check --server and that the instance runs"
