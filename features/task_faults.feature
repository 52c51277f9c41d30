Feature: No task runs in two places and no worker exceeds its capacity, whichever fault occurs

  # Both invariants of the title are checked in every scenario, each time the simulated processes
  # have become idle (PollingFleet.check). A task would run in two places if it were placed again
  # while a worker that is paused or cut off still runs it under a valid lease, or if a new leader
  # did not know of a placement. The steps name the moment of the fault; "before proposal" is before
  # any record is submitted, "after commit" is when the first task is placed, before its start order.
  Scenario Outline: records end and no task runs in two places despite <fault> on the <victim> <step>
    Given a cell of 3 replicas with 6 workers
    And documents of a service, a batch record, a gang and a batch record that is not repeatable
    When the fault <fault> is injected on the <victim> <step>
    And 40 seconds pass, the fault ends, and 60 more pass
    Then every record has ended with a reason or is a service whose tasks all run
    And each task that is not repeatable was started at most once and has ended or is unknown

    Examples: the leader
      | fault             | victim | step                |
      | kill              | leader | before proposal     |
      | pause             | leader | before proposal     |
      | kill              | leader | after commit        |
      | pause             | leader | after commit        |
      | kill              | leader | after start order   |
      | pause             | leader | after start order   |
      | kill              | leader | after task start    |
      | pause             | leader | after task start    |
      | kill              | leader | at lease renewal    |
      | pause             | leader | at lease renewal    |
      | kill              | leader | at stop order       |
      | pause             | leader | at stop order       |
      | kill              | leader | at checkpoint order |
      | pause             | leader | at checkpoint order |
      | kill              | leader | during gang start   |
      | pause             | leader | during gang start   |
      | two-way partition | leader | after start order   |
      | two-way partition | leader | at lease renewal    |

    Examples: a worker
      | fault              | victim | step                |
      | kill               | worker | after commit        |
      | kill               | worker | after start order   |
      | kill               | worker | after task start    |
      | kill               | worker | at lease renewal    |
      | kill               | worker | at stop order       |
      | kill               | worker | at checkpoint order |
      | kill               | worker | during gang start   |
      | pause              | worker | after start order   |
      | pause              | worker | after task start    |
      | pause              | worker | at lease renewal    |
      | pause              | worker | at stop order       |
      | pause              | worker | during gang start   |
      | cut off            | worker | after start order   |
      | cut off            | worker | after task start    |
      | cut off            | worker | at lease renewal    |
      | cut off            | worker | at stop order       |
      | cut off            | worker | at checkpoint order |
      | cut off            | worker | during gang start   |
      | restart            | worker | after start order   |
      | restart            | worker | after task start    |
      | restart            | worker | at lease renewal    |
      | restart            | worker | during gang start   |
      | capacity reduction | worker | after task start    |
      | task failures      | worker | after commit        |

  Scenario: A worker on which every task fails is quarantined, and the records succeed on other workers
    Given a cell of 3 replicas with 6 workers
    When worker w0 fails every task and 12 records are submitted
    And 90 seconds pass
    Then all 12 records succeed
    And worker w0 is quarantined

  # The failures are the record's fault: quarantining its workers would take the fleet away from the
  # other records.
  Scenario: A record that always fails ends with a reason, and no worker is quarantined for it
    Given a cell of 3 replicas with 6 workers
    When a record that always fails is submitted
    And 90 seconds pass
    Then the record has failed with code attempts-exhausted and a reason that names a worker
    And no worker is quarantined

  Scenario: A record that finds no free worker is refused after its start deadline, with the number of full workers
    Given a cell of 3 replicas with 6 workers
    When a service fills the fleet and a record with a start deadline of 10 s is submitted
    And 15 seconds pass
    Then the record is refused with code start-deadline-passed and the number of full workers

  # A start order that was prepared before the cancellation could still be sent after it.
  Scenario: No task is started after a bulk cancellation is acknowledged
    Given a cell of 3 replicas with 6 workers
    When 400 records of one team are submitted and cancelled by one command
    And 30 seconds pass
    Then none of their tasks was started after the cancellation was acknowledged
    And none of their tasks runs

  Scenario: Urgent tasks run within 1.1 seconds on a fleet that is full of tasks of low priority
    Given a cell of 3 replicas with 6 workers
    When tasks of low priority fill the fleet and 4 urgent tasks are submitted
    Then all urgent tasks run within 1.1 seconds of their submission

  Scenario: A team over its quota gives back resources that another team needs within its quota
    Given a cell of 3 replicas with 6 workers
    When team guest uses the whole fleet beyond its quota and team owner submits 6 tasks within its quota
    And 10 seconds pass
    Then the 6 tasks of team owner run

  # Small tasks take each worker that becomes free, so the gang gets none unless workers are set
  # aside for it.
  Scenario: A waiting gang is not starved by small tasks
    Given a cell of 3 replicas with 6 workers
    When small tasks keep the fleet full and a gang whose tasks need whole workers is submitted
    And 60 seconds pass
    Then the gang has succeeded

  Scenario Outline: A batch record whose tasks request 1024 MB and use <used> MB <outcome>
    Given a cell of 3 replicas with 6 workers
    When a batch record whose tasks use <used> MB is submitted
    And 90 seconds pass
    Then the record <outcome>

    Examples:
      | used  | outcome                                                           |
      | 1000  | succeeds at the first attempt                                     |
      | 4000  | succeeds once its tasks are given 4000 MB                         |
      | 40000 | fails with code memory-exceeded and a reason with the memory used |

  # Without this, two processes with one worker id take the tasks from each other by turns.
  Scenario Outline: A poll of a process that a later one of the same worker replaced is refused <when>
    Given a cell of 3 replicas with 6 workers
    When a second process polls as worker w0
    And <event>
    And the first process of worker w0 polls again
    Then its poll is refused with code session-replaced
    And worker w0 belongs to the second process

    Examples:
      | when                     | event                  |
      | at once                  | 1 seconds pass         |
      | also after a new leader  | the leader is replaced |
