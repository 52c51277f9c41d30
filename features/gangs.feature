Feature: Wide gangs run in time in a nearly full fleet, and other jobs do not pay for it

  # A gang waits for full workers to drain, and the advisor approves only some of those listed.
  Scenario: The advisor is asked about full workers too, in several requests at the same time
    Given a planner of jobs over 40 workers of 32 cores, of which 30 are full for 10 seconds
    And an advisor whose requests may list 8 workers, of which it approves one in two
    When a gang of 12 tasks of 10 cores waits
    Then the requests for advice list more than 20 workers, each once, and at most 8 a request
    And full workers are among them

  Scenario: No further worker is listed for a gang that has a choice of approved ones
    Given a planner of jobs over 40 workers of 32 cores, of which 40 are full for 10 seconds
    And an advisor whose requests may list 100 workers, of which it approves one in one
    When a gang of 12 tasks of 10 cores waits
    And its requests for advice are answered
    Then no more advice is requested for it

  # The advisor's decisions should not change; if one does, no worker is kept for the gang in vain.
  Scenario: A worker that the advisor approves no more is not set aside for a gang
    Given a planner of jobs over 40 workers of 32 cores, of which 40 are full for 10 seconds
    And an advisor whose requests may list 100 workers, of which it approves one in one
    When a gang of 12 tasks of 10 cores waits
    And its requests for advice are answered
    And the advisor refuses the workers that were set aside for it
    Then none of these workers is set aside for it

  Scenario: The load report tells what a waiting gang lacks
    Given a planner of jobs over 40 workers of 32 cores, of which 40 are full for 10 seconds
    And an advisor whose requests may list 100 workers, of which it approves one in one
    When a gang of 12 tasks of 10 cores waits
    Then it is reported to lack no-approved-worker
    When its requests for advice are answered
    Then it is reported to lack no-capacity

  Scenario: The workers on which a gang fits first are set aside, and as few as hold it
    Given workers that have room for tasks of the gang as follows
      | worker | now | after 1 s | after 3 s |
      | a      | 0   | 0         | 3         |
      | b      | 1   | 3         | 3         |
      | c      | 0   | 2         | 3         |
      | d      | 1   | 1         | 1         |
    Then a gang of 5 has b and c set aside for 1 second
    And a gang of 8 has a, b and c set aside for 3 seconds
    And a gang of 11 has nothing set aside

  Scenario Outline: A task of <seconds> seconds <may> run on a worker that is set aside for 3 seconds
    Given a planner of jobs over 4 workers of 32 cores, of which 2 are full for 3 seconds
    And a gang that needs all workers at once waits
    When a task of <seconds> seconds and of lower priority arrives
    Then it <does>

    Examples:
      | seconds | may     | does   |
      | 2       | may     | starts |
      | 4       | may not | waits  |

  Scenario: No worker is set aside that tasks without an end fill
    Given a planner of jobs over 4 workers of 32 cores, of which 2 are full for 3 seconds
    And the tasks that fill them run until they are stopped
    And a gang that needs all workers at once waits
    When a task of 4 seconds and of lower priority arrives
    Then it starts

  Scenario: A task without an end may not run on a worker set aside
    Given a planner of jobs over 4 workers of 32 cores, of which 2 are full for 3 seconds
    And a gang that needs all workers at once waits
    When a task of lower priority that runs until it is stopped arrives
    Then it waits

  # Today's fleets are asked for nearly all that they have, in gangs that fill whole workers. Without
  # workers set aside and a choice of approved workers, narrow tasks take each part that becomes free.
  Scenario Outline: In a fleet that is asked for <percent> percent of its cores, gangs earn 0.7 of their worth
    When <percent> percent of the cores of 90 workers are asked for, with and without the rules for gangs
    Then gangs earn at least 0.7 with the rules, and 0.1 more than without
    And jobs of the other kinds earn at least 0.95

    Examples:
      | percent |
      | 75      |
      | 90      |
