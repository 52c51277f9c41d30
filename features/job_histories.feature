Feature: Over random histories of faults, nothing that was acknowledged is lost and nothing runs twice

  Scenario Outline: Jobs, cancellations and configurations under random faults, seed <seed>
    Given a cell of 3 replicas that calls 6 workers
    When random faults strike for 20 seconds while jobs come and go, with seed <seed>
    And the faults end and 40 seconds of jobs pass
    Then every accepted job ended as it should
    And every acknowledged cancellation and configuration stands

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
