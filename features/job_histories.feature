Feature: Under random faults, no acknowledged change is lost and no task runs twice

  Scenario Outline: Jobs, cancellations and configurations under random faults, seed <seed>
    Given a cell of 3 replicas whose leader sends orders to 6 workers
    When random faults occur for 20 seconds while jobs are submitted and cancelled, with seed <seed>
    And the faults end and the cell runs for 40 seconds
    Then every accepted job succeeded or was cancelled on request
    And every acknowledged cancellation and configuration is still in effect

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
