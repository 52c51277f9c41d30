Feature: Workers that start again under the id that they had

  # In every scenario, features/lib/called_fleet.py checks the rules of job_faults.feature. Such a worker
  # knows nothing of before, and numbers its ends and heartbeats and counts its clock from the start.
  Scenario: Tasks that end on a worker that started again under its id are not run again
    Given a cell of 3 replicas whose leader sends orders to 2 workers
    And 10 jobs of 4 tasks over 10 seconds
    When the cell runs for 15 seconds
    And all workers start again under their ids
    And 4 jobs of 4 tasks are submitted and 15 seconds pass
    Then every accepted job succeeded
    And each task started once

  Scenario: A worker that started again under its id while it was idle gets tasks within 3 seconds
    Given a cell of 3 replicas whose leader sends orders to 2 workers
    And 10 jobs of 4 tasks over 10 seconds
    When the cell runs for 25 seconds
    And all workers start again under their ids
    And 1 jobs of 4 tasks are submitted and 3 seconds pass
    Then every accepted job succeeded

  Scenario Outline: Jobs succeed when <fault> affects the worker at the <moment> of a task
    Given a cell of 3 replicas whose leader sends orders to 6 workers
    And jobs with dependent steps, a gang, checkpointing tasks and tasks that fail once
    When <fault> affects the worker at the <moment> of a task
    And the faults end after 8 seconds and the cell runs for 40 more
    Then every accepted job succeeded

    Examples:
      | fault                                              | moment |
      | restart under the same id                          | start  |
      | restart under the same id                          | end    |
      | restart under the same id, leader kill             | start  |
      | restart under the same id, leader kill             | end    |
      | restart under the same id, leader pause            | end    |
      | cut off, restart under the same id                 | start  |
      | late orders, restart under the same id             | start  |

  Scenario: Tasks of a worker that started again under its id are placed anew within 3 seconds
    Given a cell of 3 replicas whose leader sends orders to 6 workers
    And a job of 12 tasks of 2 seconds
    When the cell runs for 1 seconds
    And all workers start again under their ids
    And the cell runs for 6 seconds
    Then every accepted job succeeded

  Scenario: A task that crashes workers which keep their ids is given up after at most 3 crashes
    Given a cell of 3 replicas whose leader sends orders to 6 workers
    And crashed workers that keep their ids
    And a job whose only task crashes its worker
    And 30 jobs of 2 tasks over 15 seconds
    When the cell runs for 30 seconds
    Then the job of the deadly task failed after at most 3 crashes
    And every accepted job but the first succeeded

  Scenario Outline: Random histories with workers that keep their ids, seed <seed>
    Given a cell of 3 replicas whose leader sends orders to 6 workers
    And crashed workers that keep their ids
    When random faults occur for 30 seconds while jobs are submitted and cancelled, with seed <seed>
    And the faults end and the cell runs for 60 seconds
    Then every accepted job succeeded or was cancelled on request
    And every acknowledged cancellation and queue table is still in effect

    Examples:
      | seed |
      | 101  |
      | 102  |
      | 103  |
      | 104  |

  # A start order of a lost leader may be carried out by a life that knows no fencing token yet.
  Scenario: A waiting task whose late start was found is placed once that run has been stopped
    Given a cell of 3 replicas whose leader sends orders to 2 workers
    And a job of 16 tasks of 3 seconds
    When a task that waits is started late on a worker, 100 ms before there is room for it
    And the cell runs for 15 seconds
    Then every accepted job succeeded

  # Guards against another worker at the address of an earlier life being taken for a successor.
  Scenario: Tasks run once if a late heartbeat of an earlier life names an address reused since
    Given a cell of 3 replicas whose leader sends orders to 2 workers
    And a job of 12 tasks of 6 seconds
    When the cell runs for 1 seconds
    And a worker whose answers are lost is named at the address of another by a late heartbeat
    And the cell runs for 20 seconds
    Then every accepted job succeeded
    And no scheduling rule was broken
