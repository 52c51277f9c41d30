Feature: Nothing that one worker or another writer sends ends a process or affects other workers

  Scenario Outline: A heartbeat whose id no header can carry is refused, with <what>
    When a heartbeat with the id "<id>" is decoded
    Then the heartbeat is refused as invalid-document

    Examples:
      | what                | id             |
      | a zero byte         | i-7f3a\x000091 |
      | a line feed         | i-7f3a\n0091   |
      | a space             | i-7f3a 0091    |
      | a character not ASCII | i-7f3ä       |
      | an escape           | i-\x1b[2J      |
      | nothing in it       |                |

  # An earlier version has recorded such ids, which each new leader calls first of all.
  Scenario Outline: A leader runs jobs although the cell state holds a worker <what>
    Given a replica and an entry instance on the platform's interfaces, with one HTTP worker
    When a worker <what> is recorded, and a job is run from submission to completion
    Then both instances are still running

    Examples:
      | what                              |
      | whose id has a zero byte          |
      | whose id has a line feed          |
      | whose address has a broken scope  |

  Scenario Outline: An answer of a worker with <what> does not keep the valid rows from being read
    Given an HTTP worker that lists a valid row of each kind and <what>
    When its task lists are read
    Then the valid rows are read

    Examples:
      | what                                     |
      | an infinite number of an end             |
      | an infinite attempt of an end            |
      | an infinite attempt of a running task    |
      | an infinite share of a running task      |
      | a processor use that is not a number     |
      | a negative attempt                       |
      | an attempt of 5000 digits in a name      |
      | digits of another script in a name       |
      | a kind of end that is a list             |
      | an object as a row                       |
      | a negative clock                         |
      | a clock beyond any number of seconds     |

  # The end counts all the same: without it the task would run twice.
  Scenario Outline: An end whose checkpoint is <what> is read without the checkpoint
    Given an HTTP worker that lists an end whose checkpoint is <what>
    When its task lists are read
    Then the end is read with an empty checkpoint

    Examples:
      | what                    |
      | an unpaired surrogate   |
      | null                    |
      | longer than 65536       |

  Scenario Outline: A response of a worker that is <what> is no definite answer
    Given an HTTP worker whose response is <what>
    Then there is no definite answer to a lease renewal

    Examples:
      | what                    |
      | nested 100000 deep      |
      | larger than 16 MB       |
      | larger than 16 MB in chunks |
      | cut off                 |

  Scenario: Advice with ids and tickets that cannot be encoded approves no worker
    When the advisor answers with ids and tickets that cannot be encoded and a valid one
    Then only the valid row approves a worker

  # The leader calls the advisor itself, too.
  Scenario: A call to the advisor that fails with an unexpected error is one without an answer
    Given an advisor whose calls fail with an unexpected error
    Then a request for advice fails as server-unreachable

  # Each leader would transfer its leadership, as no number would be left for the next attempt.
  Scenario: An end whose attempt no leader can have started does not use up the attempts of a task
    Given a cell of 3 replicas whose leader sends orders to 4 workers
    And a job of 2 tasks of 3 seconds
    When a worker lists an end and a running task with attempts that no leader can have started
    And the cell runs for 10 seconds
    Then every accepted job succeeded
    And the same replica has led all the time

  Scenario Outline: A worker whose calls fail with an unexpected error costs only that worker: <call>
    Given a cell of 3 replicas whose leader sends orders to 4 workers
    And a job of 12 tasks of 2 seconds
    When each <call> of one worker fails with an unexpected error
    And the cell runs for 30 seconds
    Then every accepted job succeeded
    And the same replica has led all the time
    And no scheduling rule was broken

    Examples:
      | call    |
      | start   |
      | stop    |
      | renewal |

  Scenario Outline: A worker whose <part> cannot be handled costs only that worker
    Given a cell of 3 replicas whose leader sends orders to 4 workers
    And a job of 12 tasks of 2 seconds
    When the <part> of one worker cannot be handled
    And the cell runs for 30 seconds
    Then every accepted job succeeded
    And the same replica has led all the time
    And no scheduling rule was broken

    Examples:
      | part          |
      | running tasks |
      | ended tasks   |

  Scenario: A worker whose departure cannot be handled ends no leader and holds up no later job
    Given a cell of 3 replicas whose leader sends orders to 4 workers
    When the departure of one worker cannot be handled, and it crashes
    And the cell runs for 5 seconds
    Given 5 jobs of 4 tasks over 5 seconds
    When the cell runs for 30 seconds
    Then every accepted job succeeded
    And the same replica has led all the time

  Scenario: Other writers cannot record workers without a limit
    Given a cell of 3 replicas whose leader sends orders to 4 workers
    And a limit of 40 workers
    When another writer sends heartbeats of 60 new workers
    Then at most 40 workers are recorded, and the others are refused as too-many-workers

  Scenario: Whatever bytes a worker answers, only valid rows are read
    Then any JSON as a worker's task lists gives ends that can be committed, or no definite answer

  Scenario: Whatever another writer sends as a heartbeat, it is refused or can be recorded and called
    Then any id and JSON as a heartbeat gives a worker that can be called, or is refused

  Scenario: Whatever the advisor answers, only valid rows approve workers
    Then any JSON as an advice gives approvals that can be sent on, or no definite answer
