Feature: The platform's formats are translated, and malformed data is refused or skipped

  Scenario Outline: A heartbeat with <fault> is refused as <code>
    When a worker sends a heartbeat with <fault>
    Then the heartbeat is refused as <code>

    Examples:
      | fault                     | code             |
      | undecodable bytes         | malformed-body   |
      | a list instead of fields  | malformed-body   |
      | no address                | invalid-document |
      | an address without a port | invalid-document |
      | an unknown state          | invalid-document |
      | a negative sequence       | invalid-document |
      | a capacity that is text   | invalid-document |
      | labels that are numbers   | invalid-document |
      | a sequence above 64 bits  | invalid-document |
      | an unpaired surrogate     | invalid-document |
      | an overlong drain         | invalid-document |

  Scenario: A valid heartbeat is decoded
    When a worker sends a heartbeat with no fault
    Then its pool, capacity, rack, clock and state are decoded

  Scenario Outline: A queue table with <fault> is refused as <code>
    When the operator sends a queue table with <fault>
    Then the queue table is refused as <code>

    Examples:
      | fault                   | code             |
      | a truncated body        | malformed-body   |
      | an unknown service      | invalid-document |
      | two routes for one path | invalid-document |
      | a zero time-out         | invalid-document |
      | no version              | invalid-document |
      | an overlong time-out    | invalid-document |

  Scenario Outline: A job with <fault> is refused as <code>
    When a caller submits a job with <fault>
    Then the job is refused as <code>

    Examples:
      | fault                         | code             |
      | undecodable bytes             | malformed-body   |
      | no steps                      | invalid-document |
      | a step of no tasks            | invalid-document |
      | a step that depends on itself | invalid-document |
      | a spec of 5000 bytes          | invalid-document |
      | too many tasks                | invalid-document |

  Scenario: Malformed approvals approve no worker, and valid ones still apply
    When the advisor answers with malformed rows and a valid one
    Then only the valid row approves a worker

  Scenario: Settings with unknown fields are decoded, and missing or invalid ones are refused
    Given the platform's settings of a replica
    Then its seeds, peer port and limits are decoded
    And without "node_name" they are refused as invalid-setting
    And with "policy_limits.max_hold_ms=soon" they are refused as invalid-setting

  # An order that may have run must not count as refused, as its task could then run twice.
  Scenario Outline: A start order that is answered <status> with <body> <outcome>
    Given an HTTP worker that answers <status> with <body>
    When a task is started on it
    Then the start order <outcome>

    Examples:
      | status | body                | outcome                     |
      | 200    | {"clock_ms":5}      | was accepted                |
      | 409    | {"reason":"fence"}  | was fenced                  |
      | 409    | {"reason":"old"}    | was superseded              |
      | 409    | {"reason":"late"}   | was late                    |
      | 409    | {"reason":"room"}   | was no-room                 |
      | 409    | {"reason":"ticket"} | was ticket-invalid          |
      | 409    | {"reason":"other"}  | may have run                |
      | 429    | {}                  | was unhealthy               |
      | 503    | {}                  | was unhealthy               |
      | 400    | {}                  | was invalid                 |
      | 421    | {}                  | came to another incarnation |
      | 500    | {}                  | may have run                |
      | 200    | {"clock_ms":"x"}    | was accepted                |

  # A task whose row is malformed may still run there, so its absence from the lists proves nothing.
  Scenario: Malformed rows of a worker's task lists are skipped, and valid ones are kept
    Given an HTTP worker whose task lists contain malformed rows
    When its task lists are read
    Then the valid rows are kept and the lists are marked as incomplete

  Scenario: A cell on the platform's interfaces runs a job from submission to completion
    Given a replica and an entry instance on the platform's interfaces, with one HTTP worker
    When the operator sends a queue table, the worker a heartbeat and a caller a job that completes
    Then the worker received a start order for each task, with its payload and a fencing token

  # The platform sends SIGHUP when the settings have changed. Its default action would end the
  # process, which installs its handler only after the imports.
  Scenario: SIGHUP is ignored while the launcher imports the program
    When the launcher runs until it imports the program
    Then SIGHUP is ignored

  # Callers try few times in a row. After a power loss they would use up their tries on refused connections.
  Scenario: A caller that connects while the launcher imports the program is answered by the server
    Given a settings file that names an address for callers
    When the launcher runs until it imports the program
    And a caller sends a request before a server exists
    Then a server on that address answers the request

  # Beside the threads of the RPC library an import has ended replicas with a segmentation fault.
  Scenario: Programs import nothing more once they have started
    Given a replica and an entry instance of a new cell as processes
    When the replica has dispatched jobs and both are stopped
    Then neither imported a module after its start

  Scenario: Metrics of the time before their exporter was loaded are exported
    Given metrics with a counter of 3 and a value of 0.25 before the first scrape
    When they are scraped and the counter rises by 2 before the next scrape
    Then the scrapes show a counter of 3 and of 5, and the value once

  Scenario: Settings that cannot be read are left to the program to report
    Given a settings file that cannot be read
    When the launcher runs until it imports the program
    Then SIGHUP is ignored

  # Two lives of a worker under one id differ in it.
  Scenario Outline: The moment at which a worker started is read from <what>
    When <what> of a worker that started at 1765000000123 ms is decoded
    Then it tells that the worker started at 1765000000123 ms

    Examples:
      | what             |
      | a heartbeat      |
      | a list of runs   |
      | a deregistration |

  Scenario Outline: In <what>, <value> is no moment at which a worker started
    When <what> of a worker that started at "<value>" is decoded
    Then it tells no start

    Examples:
      | what             | value |
      | a list of runs   | soon  |
      | a list of runs   | true  |
      | a list of runs   | 1.5   |
      | a deregistration | 1.5   |
