Feature: Over random histories of faults, nothing that was acknowledged is lost and nothing runs twice

  Scenario Outline: more <seed>
    Given a cell of 3 replicas that calls 6 workers
    When random faults strike for 20 seconds while jobs come and go, with seed <seed>
    And the faults end and 40 seconds of jobs pass
    Then every accepted job ended as it should
    And every acknowledged cancellation and configuration stands

    Examples:
      | seed |
      | 100 |
      | 101 |
      | 102 |
      | 103 |
      | 104 |
      | 105 |
      | 106 |
      | 107 |
      | 108 |
      | 109 |
      | 110 |
      | 111 |
      | 112 |
      | 113 |
      | 114 |
      | 115 |
      | 116 |
      | 117 |
      | 118 |
      | 119 |
      | 120 |
      | 121 |
      | 122 |
      | 123 |
