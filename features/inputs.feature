Feature: Invalid requests and settings are refused with an error that names the fault, and valid changes lose no data

  Scenario Outline: a record submitted with <what> is refused and not stored
    Given a live cell of one instance
    When an operator submits a record with <what>
    Then the response has status <status>, code <code> and a detail or hint that names <name>
    And no record is stored

    Examples:
      | what                       | status | code                   | name            |
      | a body that is not JSON    | 400    | malformed-body         | JSON            |
      | a list as its body         | 400    | malformed-body         | object          |
      | no schema version          | 422    | invalid-document       | schema_version  |
      | schema version 3           | 422    | unknown-schema-version | 3               |
      | schema version "2"         | 422    | unknown-schema-version | 2               |
      | an unknown field           | 422    | invalid-document       | colour          |
      | no resources               | 422    | invalid-document       | resources       |
      | -1 tasks                   | 422    | invalid-document       | tasks           |
      | 0 tasks                    | 422    | invalid-document       | tasks           |
      | 10000000 tasks             | 422    | invalid-document       | tasks           |
      | processors as a string     | 422    | invalid-document       | processors      |
      | half a megabyte of memory  | 422    | invalid-document       | memory_mb       |
      | an unknown kind            | 422    | invalid-document       | kind            |
      | a null name                | 422    | invalid-document       | name            |
      | an unknown version 1 field | 422    | invalid-document       | team            |
      | a body over the limit      | 413    | body-too-large         | larger          |
      | no idempotency key         | 400    | missing-header         | Idempotency-Key |
      | no token                   | 401    | unauthorized           | token           |
      | a wrong token              | 401    | unauthorized           | token           |
      | a reader's token           | 403    | forbidden              | read            |

  Scenario Outline: a poll with <what> is refused
    Given a live cell of one instance
    When a worker sends a poll with <what>
    Then the response has status <status>, code <code> and a detail or hint that names <name>

    Examples:
      | what             | status | code             | name     |
      | no capacity      | 422    | invalid-document | capacity |
      | no session       | 422    | invalid-document | session  |
      | sequence 0       | 422    | invalid-document | sequence |
      | an unknown state | 422    | invalid-document | state    |
      | a negative epoch | 422    | invalid-document | epoch    |
      | an old sequence  | 409    | stale-poll       | sequence |

  Scenario Outline: an announcement with <what> is refused
    Given a live cell of one instance
    When a backend server announces itself with <what>
    Then the response has status 422, code invalid-document and a detail or hint that names <name>

    Examples:
      | what                   | name        |
      | a host name as address | address     |
      | no slots               | slots       |
      | 3 connections          | connections |
      | an unknown state       | state       |

  # An instance loads its settings before it starts, so an error here ends the start.
  Scenario Outline: settings with <flag> <value> are refused
    When the settings of an instance are loaded with <flag> <value>
    Then the settings are refused with an error that names <flag>

    Examples:
      | flag                  | value           |
      | --http-address        | localhost:80    |
      | --http-address        | 127.0.0.1:99999 |
      | --peers               | nobody          |
      | --peers               | a@host:1        |
      | --election-timeout-ms | soon            |
      | --election-timeout-ms | 1               |
      | --leader-lease-ms     | 5000            |
      | --poll-hold-ms        | 9000            |
      | --share-interval-ms   | 3000            |
      | --tls-key             | key.pem         |
      | --log-format          | xml             |
      | --instance-id         | a/b             |

  # A version 1 document lacks most fields of version 2, so a change by a version 1 client could
  # drop them.
  Scenario: Records are returned as written or converted, and a change by a version 1 client drops no version 2 field
    Given a live cell of one instance
    When a version 1 record and a version 2 record are submitted
    Then each record is returned as it was written
    And each record is returned converted to the other version
    When a version 1 client changes the count of the version 2 record
    Then the version 2 record keeps all its version 2 fields
    When a version 2 client changes the priority of the version 1 record
    Then the version 1 record has become a version 2 record and keeps its resources

  Scenario: Changes need the current revision, and a resent change gets the first response
    Given a live cell of one instance
    When a version 1 record and a version 2 record are submitted
    Then a change without a revision is refused with status 428
    And a change at an old revision is refused with status 412 and the current revision
    And a resent change gets its first response again
    And a different request under a used idempotency key is refused with status 422
    And a configuration change at revision 0 with wait=in-force succeeds, and another at revision 0 or an invalid value is refused

  Scenario: Instances under mutual TLS become ready, and a client without TLS gets no response
    Given a certificate authority and a live cell of 3 instances under TLS
    Then all instances are ready
    And a client without TLS gets no response from an instance
