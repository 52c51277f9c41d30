Feature: Workers whose capacity shrinks and grows get what they have room for

  # In every scenario, features/lib/called_fleet.py checks the rules of job_faults.feature, and that no
  # start needs more than its worker has, from 4.5 s after the worker shrank.
  Scenario: A worker that has shrunk gets no more than it has left
    Given a cell of 3 replicas whose leader sends orders to 1 workers
    When a worker shrinks to 2000 millicores and 5 seconds pass
    And a job of 8 tasks is submitted and 10 seconds pass
    Then every accepted job succeeded

  Scenario: A worker that has grown again is used in full
    Given a cell of 3 replicas whose leader sends orders to 1 workers
    When a worker shrinks to 2000 millicores and 5 seconds pass
    And the worker grows to 8000 millicores and 2 seconds pass
    And a job of 8 tasks is submitted and 2 seconds pass
    Then every accepted job succeeded

  Scenario: Tasks go on that run on a worker as it shrinks below what they take
    Given a cell of 3 replicas whose leader sends orders to 1 workers
    When a job of 8 tasks is submitted and 0 seconds pass
    And the worker shrinks to 1000 millicores as they run
    And a job of 4 tasks is submitted and 20 seconds pass
    Then every accepted job succeeded
    And each task started once

  Scenario: The next leader knows that a worker has shrunk
    Given a cell of 3 replicas whose leader sends orders to 1 workers
    When a worker shrinks to 2000 millicores and 5 seconds pass
    And its heartbeats stop, and the leader is lost
    And a job of 8 tasks is submitted and 2 seconds pass
    Then no worker got more than it has left

  # Its first heartbeat may come after the new leader could start something there.
  Scenario: A leader that is elected after a loss of power uses no worker before it has heard from it
    Given a cell of 3 replicas whose leader sends orders to 1 workers
    When all replicas are down for 8 seconds, and a worker shrinks to 2000 millicores after 1 second
    And a job of 8 tasks is submitted and 12 seconds pass
    Then every accepted job succeeded

  Scenario: A worker that shrinks while its heartbeats are lost gets nothing once they are missed
    Given a cell of 3 replicas whose leader sends orders to 1 workers
    When a worker shrinks to 2000 millicores right after its last heartbeat and 4600 ms pass
    And a job of 8 tasks is submitted and 3 seconds pass
    Then no worker got more than it has left

  Scenario Outline: A worker with heartbeats each <interval> ms gets no tasks <timeout> ms after the last one
    Given settings with heartbeats each <interval> ms and a contact timeout of <contact> ms
    Then a worker counts as silent after <timeout> ms

    Examples:
      | interval | contact | timeout |
      | 1500     | 3000    | 3500    |
      | 1500     | 5000    | 5500    |
      | 6000     | 3000    | 8000    |
      | 1500     | 500     | 2000    |
