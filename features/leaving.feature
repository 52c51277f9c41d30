Feature: Tasks of a worker that deregisters run once, and are not lost with it

  # In every scenario, features/lib/called_fleet.py checks the rules of job_faults.feature. A worker
  # ends as soon as its deregistration is acknowledged, or 5 seconds later without an answer.

  # Guards against second starts of tasks whose worker has announced its end but runs on.
  Scenario Outline: Tasks of a worker that deregisters and runs on, as <fault>, run once at a time
    Given a cell of 3 replicas whose leader sends orders to 3 workers
    And a job of 12 tasks of 3 seconds
    When the cell runs for 1 seconds
    And a worker with tasks <announces> while <fault>
    And the cell runs for 20 seconds
    Then every accepted job succeeded
    And no scheduling rule was broken

    Examples:
      | announces              | fault                                       |
      | deregisters            | its answers are lost                        |
      | deregisters            | all that is sent to it is lost              |
      | deregisters            | all that is sent to it is lost, leader kill |
      | drains and deregisters | its answers are lost                        |
      | drains and deregisters | all that is sent to it is lost              |
      | drains and deregisters | all that is sent to it is lost, leader kill |

  # Guards against starts before a new leader has read what an earlier one started there.
  Scenario: Tasks run once if a worker deregisters at a leader that has not reached it yet
    Given a cell of 3 replicas whose leader sends orders to 3 workers
    And a job of 12 tasks of 3 seconds
    When the cell runs for 1 seconds
    And the leader is lost, and a worker with tasks that gets no calls deregisters at the next one
    And the cell runs for 20 seconds
    Then every accepted job succeeded
    And no scheduling rule was broken

  Scenario: Tasks that ended with their deregistered worker are placed anew within 6 seconds
    Given a cell of 3 replicas whose leader sends orders to 3 workers
    And a job of 12 tasks of 3 seconds
    When the cell runs for 1 seconds
    And a worker with tasks deregisters while nothing else happens
    And the cell runs for 10 seconds
    Then every accepted job succeeded

  # Guards against a deregistration that arrives after its worker has started again under its id.
  Scenario: A deregistration of an earlier life that arrives late loses no task
    Given a cell of 3 replicas whose leader sends orders to 2 workers
    And a job of 12 tasks of 3 seconds
    When the cell runs for 1 seconds
    And all workers start again under their ids
    And 4 jobs of 4 tasks are submitted and 3 seconds pass
    And deregistrations without a birth time of all workers arrive
    And the cell runs for 20 seconds
    Then every accepted job succeeded
    And no scheduling rule was broken

  # Guards against a next leader that starts tasks on a worker whose drain was acknowledged.
  Scenario: A repeated heartbeat of a draining worker is acknowledged only once the drain is recorded
    Given a cell of 3 replicas whose leader sends orders to 2 workers
    When a worker reports twice that it drains while nothing can be committed
    Then neither heartbeat is acknowledged before the leader lease is over
