Feature: A configuration is checked before it is sent

  Background:
    Given a queue table without faults and a list of its workers

  Scenario: A file that is fine has no findings
    When the queue table is checked
    Then the exit status is 0
    And the only findings are ""

  Scenario Outline: A queue table with <fault> has the finding <code>
    Given the queue table has <fault>
    When the queue table is checked
    Then the exit status is 1
    And the only findings are "<severity> <path> <code>"

    Examples: errors of the cell's validation
      | fault                   | severity | path                   | code             |
      | a missing comma         | error    | line 11                | malformed-body   |
      | a list as its body      | error    |                        | malformed-body   |
      | a timeout that is text  | error    | routes[1].timeout_ms   | invalid-document |
      | a queue that is text    | error    | routes[1]              | invalid-document |
      | two queues in one place | error    | routes[1].path_prefix  | invalid-document |
      | an unknown pool         | error    | routes[1].service      | invalid-document |
      | a shared key            | error    | tenants[1].api_keys[0] | invalid-document |
      | a key that is a number  | error    | tenants[1].api_keys[0] | invalid-document |
      | a cap that is text      | error    | tenants[1].cap.cpu     | invalid-document |
      | a negative body limit   | error    | limits.max_body_bytes  | invalid-document |

    Examples: entries that never match
      | fault                   | severity | path                   | code                  |
      | a host with a port      | error    | routes[1].host         | queue-never-matches   |
      | a prefix without /      | error    | routes[1].path_prefix  | queue-never-matches   |
      | a shadowed queue        | warning  | routes[0].path_prefix  | queue-shadowed        |
      | a pool without workers  | error    | routes[1].service      | queue-without-workers |
      | a pool without queues   | warning  | services[1]            | pool-unused           |
      | a label without workers | error    | routes[0]              | label-without-workers |
      | a sample of no queue    | error    | routes                 | sample-without-queue  |
      | a team without keys     | warning  | tenants[1].api_keys    | team-without-key      |
      | no team                 | error    | tenants                | keys-without-teams    |

    Examples: limits that contradict each other
      | fault                       | severity | path                  | code                 |
      | a timeout below its target  | warning  | routes[1].timeout_ms  | timeout-below-target |
      | a timeout below a sample    | warning  | routes[0].timeout_ms  | timeout-below-sample |
      | a cap below one task        | error    | tenants[1].cap        | cap-below-task       |
      | a cap below one gang        | error    | tenants[1].cap        | cap-below-task       |
      | a cap above the fleet       | warning  | tenants[1].cap.mem_mb | cap-above-fleet      |
      | a task above all workers    | error    | routes[0]             | task-above-workers   |
      | weights that sum to nothing | error    | tenants               | weights-sum-to-zero  |

  Scenario Outline: The configuration <name> with <document> has the finding <code>
    When the configuration <name> is checked with <document>
    Then the exit status is 1
    And the only findings are "<severity> <path> <code>"

    Examples:
      | name        | document                               | severity | path                  | code                      |
      | quotas      | {"teams": {"t": {"processors": -1}}}   | error    | teams.t.processors    | invalid-document          |
      | quotas      | {"teams": {"t": {"memory_mb": 99999}}} | warning  | teams.t.memory_mb     | quota-above-fleet         |
      | quotas      | {"teams": {"t": {"no_borrowing": true}}} | warning | teams.t.no_borrowing | quota-without-amount      |
      | call-limits | {"services": {"s": {}}}                | warning  | services.s            | call-limit-without-effect |
      | scheduling  | {"retry_percent": 5}                   | warning  | retry_percent         | setting-not-used          |

  Scenario: Differences are listed in the terms of the file, and are no faults
    Given the version in force differs in each kind of entry
    When the queue table is checked against the version in force
    Then the exit status is 0
    And the only findings are
      | finding                                                                                      |
      | change routes[1] entry-added 'b' is new                                                      |
      | change tenants[0] entry-added 't' is new                                                     |
      | change routes entry-removed 'old' is no longer there                                         |
      | change tenants entry-removed 'gone' is no longer there                                       |
      | change version value-changed changed from 6 to 7                                             |
      | change routes[0].target_latency_ms value-changed changed from 5 to 200                       |
      | change routes[0].public value-changed changed from true to false                             |
      | change services[0].enforce_capacity value-changed changed from true to false                 |
      | change limits.max_body_bytes value-changed changed from 9 to 1000                            |
      | change tenants[1].cap.cpu value-changed changed from 1 to 2000                               |
      | change tenants[0] keys-changed 't' gained 1 and lost 0 keys                                  |
      | change tenants[1].api_keys keys-changed 'u' gained 1 and lost 2 keys                         |
      | change tenants keys-changed 'gone' gained 0 and lost 1 keys                                  |

  Scenario Outline: A version <version> with a change is <result> against version 7
    Given the version in force is 7 and the file has version <version> and a change
    When the queue table is checked against the version in force
    Then the exit status is <status>

    Examples:
      | version | result   | status |
      | 6       | refused  | 1      |
      | 7       | refused  | 1      |
      | 8       | accepted | 0      |

  Scenario: Checks that lack knowledge are not made, and the output says so
    Given the queue table has a cap above the fleet
    When the queue table is checked without a list of workers
    Then the exit status is 0
    And the text names cap-above-fleet as not checked without the workers

  Scenario: The text has the findings of the JSON
    Given the queue table has a cap above the fleet
    When the queue table is checked with its output as text
    Then the exit status is 1
    And the text names the finding cap-above-fleet at tenants[1].cap.mem_mb

  Scenario Outline: The exit status is 2 for <arguments>
    When a check is started with "<arguments>"
    Then the exit status is 2

    Examples:
      | arguments                                  |
      | missing.json                               |
      | not-utf-8.json                             |
      | table.json --name colours                  |
      | table.json --against list.json             |
      | table.json --against missing.json          |
      | table.json --workers table.json            |
      | table.json --sample job.json               |
      | table.json --sample a=list.json            |
      | table.json --cell nowhere                  |
      | table.json --colour                        |

  Scenario: The version in force is read from a replica
    Given a replica and an entry instance on the platform's interfaces, with one HTTP worker
    And the replica has the queue table in force
    And the file has version 6 and a change
    When the queue table is checked against the replica
    Then the exit status is 1
    And the only findings are
      | finding                                                                                      |
      | error version version-not-higher version 6 is not above version 7 in force                   |
      | change version value-changed changed from 7 to 6                                             |
      | change limits.max_body_bytes value-changed changed from 1000 to 1001                         |

  Scenario: Configuration and workers are read from an operator address
    Given a live cell of one instance
    And a worker of the live cell and the quotas of its team are in force
    When the quotas with a change are checked against the live cell
    Then the exit status is 1
    And the only findings are
      | finding                                                                                      |
      | warning teams.t.processors quota-above-fleet team 't' may use 5000, but the 1 workers have 4000 |
      | change teams.t.processors value-changed changed from 4000 to 5000                            |

  Scenario: A cell that does not answer gives the exit status 2
    When the queue table is checked against an address on which nothing listens
    Then the exit status is 2
