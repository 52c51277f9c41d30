import datetime
import ipaddress

from behave import given, then, when
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from dewspindle._internal.exceptions import InvalidSettingError
from dewspindle._internal.network import methods
from dewspindle._internal.network.peer_client import PeerClient
from dewspindle._internal.replication.transport import PeerUnreachableError
from dewspindle._internal.schema import peers_pb2, settings_pb2
from dewspindle._internal.settings.loading import load_settings
from features.steps.call_steps import start_live_cell

GOOD = {
    "schema_version": 2,
    "name": "good",
    "team": "team",
    "kind": "batch",
    "tasks": 2,
    "priority": "low",
    "resources": {"processors": 1500, "memory_mb": 1500},
    "placement": {"spread": "rack"},
    "start_deadline_s": 77,
}
OLD = {"schema_version": 1, "name": "old", "type": "batch", "cpus": 2, "mem_gb": 3, "count": 4}


def without(name):
    return {key: value for key, value in GOOD.items() if key != name}


DOCUMENTS = {
    "a list": [GOOD],
    "no schema version": without("schema_version"),
    "schema version 3": {**GOOD, "schema_version": 3},
    'schema version "2"': {**GOOD, "schema_version": "2"},
    "an unknown field": {**GOOD, "colour": "red"},
    "no resources": without("resources"),
    "minus one task": {**GOOD, "tasks": -1},
    "no tasks at all": {**GOOD, "tasks": 0},
    "ten million tasks": {**GOOD, "tasks": 10_000_000},
    "processors as a string": {**GOOD, "resources": {"processors": "9", "memory_mb": 1}},
    "half a megabyte": {**GOOD, "resources": {"processors": 9, "memory_mb": 0.5}},
    "an unknown kind": {**GOOD, "kind": "cron"},
    "a null name": {**GOOD, "name": None},
    "an unknown version 1 field": {**OLD, "team": "x"},
    "a body over the limit": {**GOOD, "command": ["x" * 2_000_000]},
}


@given("a live cell of one instance")
def given_one(context):
    start_live_cell(context, 1, 1)
    context.keys = 0


def get_live(context):
    return context.live.instances[0]


async def send(context, method, path, body=None, *, client=None, key=None, headers=None):
    context.keys += 1
    given_headers = dict(headers or {})
    if key != "":
        given_headers["Idempotency-Key"] = key or f"key-{context.keys}"
    client = client or get_live(context).operator
    return await client.request(method, path, body=body, headers=given_headers)


@when("an operator sends {what}")
def when_sends(context, what):
    live = get_live(context)
    options = {}
    if what == "no idempotency key":
        options["key"] = ""
    elif what == "no token":
        options["client"] = live.anonymous
    elif what == "a wrong token":
        options["client"] = live.anonymous
        options["headers"] = {"Authorization": "Bearer wrong"}
    elif what == "a reader's token":
        options["client"] = live.reader
    if what == "a body that is not JSON":
        context.answer = context.run(send_raw(live, b"{not json"))
        return
    document = DOCUMENTS.get(what, GOOD)
    context.answer = context.run(send(context, "POST", "/v1/records", document, **options))


async def send_raw(live, content):
    import httpcore

    async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.request(
            "POST",
            f"http://{live.operator_address}/v1/records",
            headers={"Authorization": "Bearer secret", "Idempotency-Key": "raw"},
            content=content,
        )
    import json

    from dewspindle._internal.network.json_client import JsonResponse

    return JsonResponse(response.status, {}, json.loads(response.content))


@then("the problem is {status:d} with code {code} naming {name}")
def then_problem(context, status, code, name):
    answer = context.answer
    assert answer.status == status, answer
    assert answer.body["code"] == code, answer
    assert name in answer.body["detail"] + answer.body.get("hint", ""), answer


@then("no record is kept")
def then_none_kept(context):
    answer = context.run(send(context, "GET", "/v1/records"))
    assert answer.body["known"] == 0, answer


def make_poll(**more):
    return {
        "session": "s",
        "sequence": 5,
        "capacity": {"processors": 1000, "memory_mb": 1000},
        "rack": "r",
        "zone": "z",
        "wait_ms": 0,
        **more,
    }


POLLS = {
    "no capacity": {"capacity": {}},
    "no session": {"session": ""},
    "sequence 0": {"sequence": 0},
    "an unknown state": {"tasks": [{"task": "r-1.0", "epoch": 1, "state": "odd"}]},
    "a negative epoch": {"tasks": [{"task": "r-1.0", "epoch": -1, "state": "running"}]},
    "an old sequence": {"sequence": 4},
}


@when("a worker sends a poll with {what}")
def when_polls(context, what):
    async def poll():
        caller = get_live(context).caller
        first = await caller.request("POST", "/v1/workers/w/poll", body=make_poll())
        assert first.status == 200, first
        bad = make_poll(**{"sequence": 6, **POLLS[what]})
        if what == "no capacity":
            del bad["capacity"]
        return await caller.request("POST", "/v1/workers/w/poll", body=bad)

    context.answer = context.run(poll())


ANNOUNCEMENTS = {
    "a host name": {"address": "localhost:80"},
    "no slots": {"slots": 0},
    "3 connections": {"connections": 3},
    "an unknown state": {"state": "odd"},
}


@when("a backend server announces itself with {what}")
def when_announces(context, what):
    document = {
        "id": "b",
        "service": "s",
        "address": "127.0.0.1:80",
        "availability_zone": "z",
        "slots": 4,
        "connections": 60,
        "state": "ready",
        **ANNOUNCEMENTS[what],
    }
    context.answer = context.run(
        get_live(context).caller.request("POST", "/v1/backends", body=document)
    )


@when("an instance is started with {flag} {value}")
def when_started(context, flag, value):
    flags = {
        "instance_id": "a",
        "availability_zone": "z",
        "peers": "a@127.0.0.1:7000",
        "operator_token": "t",
    }
    flags[flag.removeprefix("--").replace("-", "_")] = value
    context.refusal = None
    try:
        load_settings(flags, environment={})
    except InvalidSettingError as error:
        context.refusal = error


@then("the start is refused naming {flag}")
def then_start_refused(context, flag):
    assert context.refusal is not None
    assert flag in str(context.refusal), context.refusal


@when("a version 1 record and a version 2 record are submitted")
def when_both(context):
    async def submit():
        context.ids = {}
        for document in (OLD, GOOD):
            answer = await send(context, "POST", "/v1/records", document)
            assert answer.status == 201, answer
            context.ids[document["schema_version"]] = answer.body["id"]

    context.run(submit())


async def get(context, version, shown_as):
    path = f"/v1/records/{context.ids[version]}?schema_version={shown_as}"
    return await send(context, "GET", path)


@then("each is shown as it was written")
def then_as_written(context):
    for version, document in ((1, OLD), (2, GOOD)):
        answer = context.run(get(context, version, version))
        assert answer.body["document"] == document, answer
        assert answer.body["written_under"] == version


@then("each is shown in the other version")
def then_other(context):
    old = context.run(get(context, 1, 2)).body["document"]
    assert old["resources"] == {"processors": 2000, "memory_mb": 3072}
    assert old["team"] == "default"
    new = context.run(get(context, 2, 1)).body["document"]
    assert new == {
        "schema_version": 1,
        "name": "good",
        "type": "batch",
        "cpus": 2,
        "mem_gb": 2,
        "count": 2,
    }, new


async def change(context, version, shown_as, **changes):
    shown = await get(context, version, shown_as)
    document = {**shown.body["document"], **changes}
    answer = await send(
        context,
        "PUT",
        f"/v1/records/{context.ids[version]}",
        document,
        headers={"If-Match": shown.headers["etag"]},
    )
    assert answer.status == 200, answer


@when("a version 1 writer changes the version 2 record's count")
def when_v1_changes(context):
    context.run(change(context, 2, 1, count=5))


@then("its version 2 fields are all still there")
def then_v2_kept(context):
    answer = context.run(get(context, 2, 2))
    assert answer.body["document"] == {**GOOD, "tasks": 5}, answer


@when("a version 2 writer changes the version 1 record's priority")
def when_v2_changes(context):
    context.run(change(context, 1, 2, priority="urgent"))


@then("it is a version 2 record with what it said before")
def then_now_v2(context):
    answer = context.run(get(context, 1, 2))
    assert answer.body["written_under"] == 2
    assert answer.body["priority"] == "urgent"
    assert answer.body["document"]["resources"] == {"processors": 2000, "memory_mb": 3072}


@then("a change without a revision is refused with {status:d}")
def then_no_revision(context, status):
    path = f"/v1/records/{context.ids[2]}"
    assert context.run(send(context, "PUT", path, GOOD)).status == status


@then("a change at an old revision is refused with {status:d} and tells the one in force")
def then_old_revision(context, status):
    path = f"/v1/records/{context.ids[2]}"
    answer = context.run(send(context, "PUT", path, GOOD, headers={"If-Match": '"1"'}))
    assert answer.status == status, answer
    assert answer.body["code"] == "revision-conflict"
    assert answer.headers["etag"] == f'"{context.ids[2].removeprefix("r-")}"'


@then("a resent change gets its first answer again")
def then_resent(context):
    revision = context.ids[2].removeprefix("r-")
    path = f"/v1/records/{context.ids[2]}"
    headers = {"If-Match": f'"{revision}"'}

    async def resend():
        body = {**GOOD, "tasks": 3}
        return [
            await send(context, "PUT", path, body, key="resent", headers=headers) for _ in range(3)
        ]

    first, *others = context.run(resend())
    assert first.status == 200, first
    assert all(answer.body == first.body for answer in others), others


@then("another body under a used key is refused with {status:d}")
def then_key_used(context, status):
    answer = context.run(send(context, "POST", "/v1/records", OLD, key="resent"))
    assert answer.status == status, answer
    assert answer.body["code"] == "idempotency-key-reused"


@then("a configuration in force everywhere is waited for")
def then_in_force(context):
    async def put(body, revision):
        return await send(
            context,
            "PUT",
            "/v1/config/scheduling?wait=in-force",
            body,
            headers={"If-Match": f'"{revision}"'},
        )

    answer = context.run(put({"objective": "packing"}, 0))
    assert answer.status == 200, answer
    stale = context.run(put({"objective": "waiting"}, 0))
    assert stale.status == 412, stale
    wrong = context.run(put({"objective": "speed"}, answer.body["revision"]))
    assert wrong.status == 422, wrong


def write_certificates(folder):
    """Write an authority, and a certificate of its for 127.0.0.1."""
    now = datetime.datetime(2026, 1, 1)
    until = now + datetime.timedelta(days=36500)
    authority_key = ec.generate_private_key(ec.SECP256R1())
    authority_name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "authority")])

    def build(name, key):
        builder = x509.CertificateBuilder().subject_name(name).issuer_name(authority_name)
        builder = builder.public_key(key.public_key()).serial_number(x509.random_serial_number())
        return builder.not_valid_before(now).not_valid_after(until)

    authority = build(authority_name, authority_key).add_extension(
        x509.BasicConstraints(ca=True, path_length=None), critical=True
    )
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "instance")])
    address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
    leaf = build(name, key).add_extension(x509.SubjectAlternativeName([address]), critical=False)
    pem = serialization.Encoding.PEM
    files = {
        "ca.pem": authority.sign(authority_key, hashes.SHA256()).public_bytes(pem),
        "cert.pem": leaf.sign(authority_key, hashes.SHA256()).public_bytes(pem),
        "key.pem": key.private_bytes(
            pem, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
        ),
    }
    for file_name, content in files.items():
        (folder / file_name).write_bytes(content)


@given("a certificate authority and a live cell of {size:d} instances under TLS")
def given_tls(context, size):
    write_certificates(context.folder)
    start_live_cell(
        context,
        size,
        3,
        tls_certificate=str(context.folder / "cert.pem"),
        tls_key=str(context.folder / "key.pem"),
        tls_ca=str(context.folder / "ca.pem"),
    )


@then("all instances are ready")
def then_all_ready(context):
    assert all(live.instance.is_ready for live in context.live.instances)


@then("an instance without a certificate is not answered")
def then_not_answered(context):
    async def ask():
        client = PeerClient(settings_pb2.Settings())
        try:
            await client.call(
                get_live(context).peer_address,
                methods.HELLO,
                peers_pb2.HelloRequest(),
                timeout_s=2.0,
            )
        except PeerUnreachableError:
            return True
        finally:
            await client.close()
        return False

    assert context.run(ask())
