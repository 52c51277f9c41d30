Feature: The advisor is asked from many instances, so that steps wait little for it

  Scenario: Entries share the load of long questions with the replicas
    Given 4 replicas and 8 entries that ask the advisor, which takes 0.6 seconds
    When 10 steps need its advice at the same time
    Then every step has its advice within 0.8 seconds

  Scenario: A short question goes to a replica though entries are free
    Given 4 replicas and 8 entries that ask the advisor, which takes 0.01 seconds
    When 1 step needs its advice at the same time
    Then only replicas were asked, and not the leader

  Scenario: A helper that never answers costs a step less than half a second
    Given 4 replicas and 8 entries that ask the advisor, which takes 0.02 seconds
    And the first helper asked never answers
    When 1 step needs its advice at the same time
    Then every step has its advice within 0.5 seconds

  Scenario: A helper that failed is not asked again while others are free
    Given 4 replicas and 8 entries that ask the advisor, which takes 0.02 seconds
    And the first helper asked never answers
    When 40 steps need its advice one after the other
    Then the first helper was asked once

  Scenario: An advisor that fails everybody is asked again as soon as it is back
    Given 1 replicas and 0 entries that ask the advisor, which takes 0.02 seconds
    And the advisor fails for 2 seconds
    When 1 step needs its advice at the same time
    Then every step has its advice within 2.6 seconds

  Scenario: An entry that has fallen silent is not asked
    Given 4 replicas and 8 entries that ask the advisor, which takes 0.6 seconds
    And the entries relay nothing for 4 seconds
    When 2 steps need its advice at the same time
    Then only replicas were asked, and not the leader

  Scenario: An advisor that is slower than it says is waited for in the end
    Given 4 replicas and 8 entries that ask the advisor, which takes 2.5 seconds
    And the advisor says that it takes 0.9 seconds
    When 1 step needs its advice at the same time
    Then every step has its advice within 5 seconds

  Scenario: Workers that were approved before are named alone where they have the room
    Given workers a to f with room for 3 tasks each
    When 5 tasks need advice and a and b were approved before
    Then only a and b are named

  Scenario: Others are named where the approved ones are full
    Given workers a to f with room for 3 tasks each
    And workers a and b are full
    When 5 tasks need advice and a and b were approved before
    Then only c, d, e and f are named

  Scenario: No full worker is named beside approved ones
    Given workers a to f with room for 0 tasks each
    When 5 tasks need advice beside a worker that is approved
    Then nobody is named

  Scenario: A gang names full workers beside free ones, as it waits for them to drain
    Given workers a to f with room for 3 tasks each
    And workers a and b are full
    When a gang of 5 needs advice and a and b were approved before
    Then only a, b, c, d, e and f are named

  Scenario: Full workers are named where nobody is approved
    Given workers a to f with room for 0 tasks each
    When 5 tasks need advice and a and b were approved before
    Then only a, b, c, d, e and f are named

  Scenario: A step whose approved workers are full asks for others that have room
    Given a cell of 3 replicas that calls 12 workers
    And an advisor that approves every third worker and takes long to consider each
    And a job of 4 tasks that each need a whole worker
    When 1 seconds of jobs pass
    Then 4 tasks of the job run
