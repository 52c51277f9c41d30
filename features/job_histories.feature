Feature: Under random faults, no acknowledged change is lost and no task runs twice

  # The seed decides the jobs, the cancellations and the faults of replicas and workers. As in
  # job_faults.feature, the rules for tasks are checked at each moment.

  Scenario Outline: Jobs, cancellations and queue tables survive random faults, seed <seed>
    Given a cell of 3 replicas whose leader sends orders to 6 workers
    When random faults occur for 20 seconds while jobs are submitted and cancelled, with seed <seed>
    And the faults end and the cell runs for 40 seconds
    Then every accepted job succeeded or was cancelled on request
    And every acknowledged cancellation and queue table is still in effect

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |
      | 7    |
      | 8    |
