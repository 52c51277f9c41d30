Feature: The adapter translates the platform's words once, and bad data names no worker

  Scenario Outline: An announcement with <fault> is refused with a code and names no worker
    When a worker announces itself with <fault>
    Then the announcement is refused as <code>

    Examples:
      | fault                      | code             |
      | bytes that cannot be read  | malformed-body   |
      | a list in place of fields  | malformed-body   |
      | no address                 | invalid-document |
      | an address without a port  | invalid-document |
      | an unknown state           | invalid-document |
      | a negative sequence        | invalid-document |
      | a capacity that is text    | invalid-document |
      | labels that are numbers    | invalid-document |
      | a sequence beyond all bounds | invalid-document |
      | half of a surrogate pair   | invalid-document |
      | a far too long drain       | invalid-document |

  Scenario: A whole announcement is understood
    When a worker announces itself with nothing wrong
    Then its capacity, labels, rack and clock are known

  Scenario Outline: A configuration with <fault> is refused
    When the operator sends a configuration with <fault>
    Then the configuration is refused as <code>

    Examples:
      | fault                 | code             |
      | a cut in the middle   | malformed-body   |
      | an unknown service    | invalid-document |
      | two routes in a place | invalid-document |
      | no time-out           | invalid-document |
      | no version            | invalid-document |
      | an endless time-out   | invalid-document |

  Scenario Outline: A job with <fault> is refused
    When a caller hands in a job with <fault>
    Then the job is refused as <code>

    Examples:
      | fault                    | code             |
      | bytes that cannot be read | malformed-body   |
      | no steps                 | invalid-document |
      | a step of no tasks       | invalid-document |
      | a step after itself      | invalid-document |
      | a text of 5000 bytes     | invalid-document |
      | too many tasks           | invalid-document |

  Scenario: Approvals that cannot be read approve no worker, and the rest holds
    When the advisor answers with broken rows beside a whole one
    Then just the whole row approves a worker

  Scenario: Settings with unknown fields are read, and what is missing is named
    Given the platform's settings of a replica
    Then its addresses, seeds and limits are known
    And without "node_name" they are refused as invalid-setting
    And with "policy_limits.max_hold_ms=soon" they are refused as invalid-setting

  Scenario Outline: A worker that answers <status> with <body> has <meaning>
    Given a worker on the wire that answers <status> with <body>
    When a task is started there
    Then the start <meaning>

    Examples:
      | status | body                 | meaning           |
      | 200    | {"clock_ms":5}       | was accepted      |
      | 409    | {"reason":"fence"}   | was fenced        |
      | 409    | {"reason":"old"}     | was superseded    |
      | 409    | {"reason":"late"}    | was late          |
      | 409    | {"reason":"room"}    | was no-room       |
      | 409    | {"reason":"ticket"}  | was ticket-invalid |
      | 409    | {"reason":"other"}   | may have run      |
      | 429    | {}                   | was unhealthy     |
      | 503    | {}                   | was unhealthy     |
      | 400    | {}                   | was invalid       |
      | 421    | {}                   | came to another incarnation |
      | 500    | {}                   | may have run      |
      | 200    | {"clock_ms":"x"}     | was accepted      |

  Scenario: Rows that cannot be read are left out of a worker's lists, and the rest holds
    Given a worker on the wire whose lists hold broken rows
    When its lists are read
    Then the whole rows are known and the lists count as cut short

  Scenario: A cell on the platform's interface runs a job from its submission to its end
    Given a replica and an entry on the platform's interfaces, with one worker on the wire
    When the operator puts a configuration, the worker announces itself and a caller hands in a job
    Then the job is shown as completed, and the worker was told what the pages say

  Scenario: The signal that settings changed does not end a program that only begins to start
    When the launcher is loaded
    Then that signal is ignored until the program handles it
