Feature: An urgent job starts within half of its aim of 0.3 s, however much other work is planned

  Scenario: Urgent tasks start in time while a round looks at the steps of a long backlog
    Given a leader that plans steps on 176 workers of 32 cores
    And an event loop that takes 0.5 ms for a step in a round and carries 450 starts a second
    And a team "small" with a cap of 400 cores
    And a backlog of 300 jobs of 4 tasks of 8 cores of team "small"
    And 40 urgent jobs of 3 tasks a second arrive from second 1 to 3
    When 4 seconds of planning pass
    Then 9 of 10 urgent jobs start within 0.15 seconds

  Scenario: Urgent gangs start in time while a round looks at the steps of a long backlog
    Given a leader that plans steps on 176 workers of 32 cores
    And an event loop that takes 0.5 ms for a step in a round and carries 450 starts a second
    And a team "small" with a cap of 400 cores
    And a backlog of 300 jobs of 4 tasks of 8 cores of team "small"
    And 40 urgent gangs of 3 tasks a second arrive from second 1 to 3
    When 4 seconds of planning pass
    Then 9 of 10 urgent jobs start within 0.15 seconds

  Scenario: An urgent task that found no room starts before those that came later
    Given a leader that plans steps on 10 workers of 32 cores
    And an event loop that takes 0.5 ms for a step in a round and carries 450 starts a second
    And workers 0 to 8 are full for 60 seconds
    And worker 9 is full until its task ends between two rounds
    And a team "small" with a cap of 8 cores
    And a backlog of 300 jobs of 4 tasks of 8 cores of team "small"
    And 50 urgent tasks that fill a worker and need no advice arrive a second from second 0.2 to 1
    When 2 seconds of planning pass
    Then the first of them starts first
