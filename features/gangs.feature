Feature: Wide gangs start in time on a fleet that small tasks keep nearly full

  Scenario: Workers with most room are kept, until they hold the gang once they are empty
    Given workers a to f that hold 3 members when empty, and 2 now on b, 1 on e and 0 on the others
    When a gang of 5 asks for workers
    Then b and e are kept for it

  Scenario: Kept workers stay kept, and only what is missing is added
    Given workers a to f that hold 3 members when empty, and 2 now on b, 1 on e and 0 on the others
    When a gang of 5 asks for workers
    And worker e cannot be used any more
    And a gang of 5 asks for workers
    Then a and b are kept for it

  Scenario: A gang that its workers cannot hold keeps none
    Given workers a to f that hold 3 members when empty, and 2 now on b, 1 on e and 0 on the others
    When a gang of 19 asks for workers
    Then nothing is kept

  Scenario: One gang keeps what it needs, and others only up to a tenth of the workers
    Given workers a to f that hold 3 members when empty, and 2 now on b, 1 on e and 0 on the others
    When a gang of 5 asks for workers
    And another gang of 3 asks for workers
    And a third gang of 3 asks for workers
    Then 2 workers are kept in all

  Scenario: A gang that waits no more leaves nothing behind
    Given workers a to f that hold 3 members when empty, and 2 now on b, 1 on e and 0 on the others
    When a gang of 5 asks for workers
    And the gang waits no more
    Then nothing is kept

  Scenario: A more pressing task passes, a less pressing one does not
    Given workers a to f that hold 3 members when empty, and 2 now on b, 1 on e and 0 on the others
    When a gang of 5 asks for workers
    Then a task of a lower rank may use b, and one of a higher rank may not

  Scenario: A gang of whole workers starts though small tasks would fill them
    Given a cell of 3 replicas that calls 12 workers
    And an advisor that approves 12 workers
    And a stream of 400 small jobs over 10 seconds
    When 2 seconds of jobs pass
    And a gang of 6 tasks that each need a whole worker is handed in
    And 6 seconds of jobs pass
    Then the gang has ended

  Scenario: Two gangs of whole workers start one after the other
    Given a cell of 3 replicas that calls 12 workers
    And an advisor that approves 12 workers
    And a stream of 300 small jobs over 10 seconds
    When 2 seconds of jobs pass
    And a gang of 4 tasks that each need a whole worker is handed in
    And a gang of 2 tasks that each need a whole worker is handed in
    And 6 seconds of jobs pass
    Then both gangs have ended
