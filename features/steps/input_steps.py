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

VERSION_2_DOCUMENT = {
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
VERSION_1_DOCUMENT = {
    "schema_version": 1,
    "name": "old",
    "type": "batch",
    "cpus": 2,
    "mem_gb": 3,
    "count": 4,
}


def make_document_without(name):
    return {key: value for key, value in VERSION_2_DOCUMENT.items() if key != name}


BODIES = {
    "a list as its body": [VERSION_2_DOCUMENT],
    "no schema version": make_document_without("schema_version"),
    "schema version 3": {**VERSION_2_DOCUMENT, "schema_version": 3},
    'schema version "2"': {**VERSION_2_DOCUMENT, "schema_version": "2"},
    "an unknown field": {**VERSION_2_DOCUMENT, "colour": "red"},
    "no resources": make_document_without("resources"),
    "-1 tasks": {**VERSION_2_DOCUMENT, "tasks": -1},
    "0 tasks": {**VERSION_2_DOCUMENT, "tasks": 0},
    "10000000 tasks": {**VERSION_2_DOCUMENT, "tasks": 10_000_000},
    "processors as a string": {
        **VERSION_2_DOCUMENT,
        "resources": {"processors": "9", "memory_mb": 1},
    },
    "half a megabyte of memory": {
        **VERSION_2_DOCUMENT,
        "resources": {"processors": 9, "memory_mb": 0.5},
    },
    "an unknown kind": {**VERSION_2_DOCUMENT, "kind": "cron"},
    "a null name": {**VERSION_2_DOCUMENT, "name": None},
    "an unknown version 1 field": {**VERSION_1_DOCUMENT, "team": "x"},
    "a body over the limit": {**VERSION_2_DOCUMENT, "command": ["x" * 2_000_000]},
}


@given("a live cell of one instance")
def given_one(context):
    start_live_cell(context, 1, 1)
    context.key_count = 0


def get_first_instance(context):
    return context.live.instances[0]


async def send(context, method, path, body=None, *, client=None, key=None, headers=None):
    context.key_count += 1
    given_headers = dict(headers or {})
    if key != "":
        given_headers["Idempotency-Key"] = key or f"key-{context.key_count}"
    client = client or get_first_instance(context).operator
    return await client.request(method, path, body=body, headers=given_headers)


@when("an operator submits a record with {what}")
def when_record_submitted(context, what):
    live = get_first_instance(context)
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
        context.response = context.run(send_raw(live, b"{not json"))
        return
    document = BODIES.get(what, VERSION_2_DOCUMENT)
    context.response = context.run(send(context, "POST", "/v1/records", document, **options))


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


@then("the response has status {status:d}, code {code} and a detail or hint that names {name}")
def then_error(context, status, code, name):
    response = context.response
    assert response.status == status, response
    assert response.body["code"] == code, response
    assert name in response.body["detail"] + response.body.get("hint", ""), response


@then("no record is stored")
def then_none_stored(context):
    response = context.run(send(context, "GET", "/v1/records"))
    assert response.body["known"] == 0, response


def make_poll(**overrides):
    return {
        "session": "s",
        "sequence": 5,
        "capacity": {"processors": 1000, "memory_mb": 1000},
        "rack": "r",
        "zone": "z",
        "wait_ms": 0,
        **overrides,
    }


POLL_CHANGES = {
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
        caller = get_first_instance(context).caller
        first_response = await caller.request("POST", "/v1/workers/w/poll", body=make_poll())
        assert first_response.status == 200, first_response
        invalid_poll = make_poll(**{"sequence": 6, **POLL_CHANGES[what]})
        if what == "no capacity":
            del invalid_poll["capacity"]
        return await caller.request("POST", "/v1/workers/w/poll", body=invalid_poll)

    context.response = context.run(poll())


ANNOUNCEMENT_CHANGES = {
    "a host name as address": {"address": "localhost:80"},
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
        **ANNOUNCEMENT_CHANGES[what],
    }
    context.response = context.run(
        get_first_instance(context).caller.request("POST", "/v1/backends", body=document)
    )


@when("the settings of an instance are loaded with {flag} {value}")
def when_started(context, flag, value):
    flags = {
        "instance_id": "a",
        "availability_zone": "z",
        "peers": "a@127.0.0.1:7000",
        "operator_token": "t",
    }
    flags[flag.removeprefix("--").replace("-", "_")] = value
    context.settings_error = None
    try:
        load_settings(flags, environment={})
    except InvalidSettingError as error:
        context.settings_error = error


@then("the settings are refused with an error that names {flag}")
def then_start_refused(context, flag):
    assert context.settings_error is not None
    assert flag in str(context.settings_error), context.settings_error


@when("a version 1 record and a version 2 record are submitted")
def when_both_versions(context):
    async def submit():
        context.ids = {}
        for document in (VERSION_1_DOCUMENT, VERSION_2_DOCUMENT):
            response = await send(context, "POST", "/v1/records", document)
            assert response.status == 201, response
            context.ids[document["schema_version"]] = response.body["id"]

    context.run(submit())


async def get_record(context, version, shown_version):
    path = f"/v1/records/{context.ids[version]}?schema_version={shown_version}"
    return await send(context, "GET", path)


@then("each record is returned as it was written")
def then_as_written(context):
    for version, document in ((1, VERSION_1_DOCUMENT), (2, VERSION_2_DOCUMENT)):
        response = context.run(get_record(context, version, version))
        assert response.body["document"] == document, response
        assert response.body["written_under"] == version


@then("each record is returned converted to the other version")
def then_other_version(context):
    old = context.run(get_record(context, 1, 2)).body["document"]
    assert old["resources"] == {"processors": 2000, "memory_mb": 3072}
    assert old["team"] == "default"
    new = context.run(get_record(context, 2, 1)).body["document"]
    assert new == {
        "schema_version": 1,
        "name": "good",
        "type": "batch",
        "cpus": 2,
        "mem_gb": 2,
        "count": 2,
    }, new


async def change_record(context, version, shown_version, **changes):
    shown_response = await get_record(context, version, shown_version)
    document = {**shown_response.body["document"], **changes}
    response = await send(
        context,
        "PUT",
        f"/v1/records/{context.ids[version]}",
        document,
        headers={"If-Match": shown_response.headers["etag"]},
    )
    assert response.status == 200, response


@when("a version 1 client changes the count of the version 2 record")
def when_v1_changes(context):
    context.run(change_record(context, 2, 1, count=5))


@then("the version 2 record keeps all its version 2 fields")
def then_v2_kept(context):
    response = context.run(get_record(context, 2, 2))
    assert response.body["document"] == {**VERSION_2_DOCUMENT, "tasks": 5}, response


@when("a version 2 client changes the priority of the version 1 record")
def when_v2_changes(context):
    context.run(change_record(context, 1, 2, priority="urgent"))


@then("the version 1 record has become a version 2 record and keeps its resources")
def then_now_v2(context):
    response = context.run(get_record(context, 1, 2))
    assert response.body["written_under"] == 2
    assert response.body["priority"] == "urgent"
    assert response.body["document"]["resources"] == {"processors": 2000, "memory_mb": 3072}


@then("a change without a revision is refused with status {status:d}")
def then_no_revision(context, status):
    path = f"/v1/records/{context.ids[2]}"
    assert context.run(send(context, "PUT", path, VERSION_2_DOCUMENT)).status == status


@then("a change at an old revision is refused with status {status:d} and the current revision")
def then_old_revision(context, status):
    path = f"/v1/records/{context.ids[2]}"
    response = context.run(
        send(context, "PUT", path, VERSION_2_DOCUMENT, headers={"If-Match": '"1"'})
    )
    assert response.status == status, response
    assert response.body["code"] == "revision-conflict"
    # The id of a record holds its first revision.
    assert response.headers["etag"] == f'"{context.ids[2].removeprefix("r-")}"'


@then("a resent change gets its first response again")
def then_resent(context):
    revision = context.ids[2].removeprefix("r-")
    path = f"/v1/records/{context.ids[2]}"
    headers = {"If-Match": f'"{revision}"'}

    async def resend():
        body = {**VERSION_2_DOCUMENT, "tasks": 3}
        return [
            await send(context, "PUT", path, body, key="resent", headers=headers) for _ in range(3)
        ]

    first_response, *later_responses = context.run(resend())
    assert first_response.status == 200, first_response
    assert all(response.body == first_response.body for response in later_responses), (
        later_responses
    )


@then("a different request under a used idempotency key is refused with status {status:d}")
def then_used_key_refused(context, status):
    response = context.run(send(context, "POST", "/v1/records", VERSION_1_DOCUMENT, key="resent"))
    assert response.status == status, response
    assert response.body["code"] == "idempotency-key-reused"


@then(
    "a configuration change at revision 0 with wait=in-force succeeds, and another at revision 0 "
    "or an invalid value is refused"
)
def then_in_force(context):
    async def put(body, revision):
        return await send(
            context,
            "PUT",
            "/v1/config/scheduling?wait=in-force",
            body,
            headers={"If-Match": f'"{revision}"'},
        )

    # A configuration that was never set has revision 0.
    response = context.run(put({"objective": "packing"}, 0))
    assert response.status == 200, response
    stale = context.run(put({"objective": "waiting"}, 0))
    assert stale.status == 412, stale
    invalid = context.run(put({"objective": "speed"}, response.body["revision"]))
    assert invalid.status == 422, invalid


def write_certificates(folder):
    """Write the certificate of an authority, and a certificate for 127.0.0.1 signed by it."""
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


@then("a client without TLS gets no response from an instance")
def then_no_response(context):
    async def is_unreachable():
        client = PeerClient(settings_pb2.Settings())
        try:
            await client.call(
                get_first_instance(context).peer_address,
                methods.HELLO,
                peers_pb2.HelloRequest(),
                timeout_s=2.0,
            )
        except PeerUnreachableError:
            return True
        finally:
            await client.close()
        return False

    assert context.run(is_unreachable())
