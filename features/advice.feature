Feature: Advice requests are spread over many instances, so that steps wait little for the advisor

  Scenario: Entries share the load of slow advice requests with the replicas
    Given 4 replicas and 8 entries that query an advisor with a response time of 0.6 seconds
    When 10 steps request advice at the same time
    Then every step has received advice within 0.8 seconds

  Scenario: A fast advice request goes to a replica although entries are free
    Given 4 replicas and 8 entries that query an advisor with a response time of 0.01 seconds
    When 1 step requests advice at the same time
    Then only replicas other than the leader were asked

  Scenario: A helper that never answers delays a step by less than half a second
    Given 4 replicas and 8 entries that query an advisor with a response time of 0.02 seconds
    And the first helper asked never answers
    When 1 step requests advice at the same time
    Then every step has received advice within 0.5 seconds

  Scenario: A helper that failed is not asked again while others are free
    Given 4 replicas and 8 entries that query an advisor with a response time of 0.02 seconds
    And the first helper asked never answers
    When 40 steps request advice one after the other
    Then the first helper was asked once

  Scenario: An advisor that fails for every helper is asked again as soon as it is available again
    Given 1 replicas and 0 entries that query an advisor with a response time of 0.02 seconds
    And the advisor fails for 2 seconds
    When 1 step requests advice at the same time
    Then every step has received advice within 2.6 seconds

  Scenario: An entry that has stopped relaying requests is not asked
    Given 4 replicas and 8 entries that query an advisor with a response time of 0.6 seconds
    And the entries relay nothing for 4 seconds
    When 2 steps request advice at the same time
    Then only replicas other than the leader were asked

  Scenario: An advisor that is slower than declared eventually gets enough time to answer
    Given 4 replicas and 8 entries that query an advisor with a response time of 2.5 seconds
    And the advisor declares a response time of 0.9 seconds
    When 1 step requests advice at the same time
    Then every step has received advice within 5 seconds

  Scenario: Only workers that were approved before are listed if they have room for all tasks
    Given workers a to f with room for 3 tasks each
    When 5 tasks need advice and a and b were approved before
    Then the listed workers are a and b

  Scenario: Other workers are listed if the approved ones are full
    Given workers a to f with room for 3 tasks each
    And workers a and b are full
    When 5 tasks need advice and a and b were approved before
    Then the listed workers are c, d, e and f

  Scenario: No full worker is listed beside approved ones
    Given workers a to f with room for 0 tasks each
    When 5 tasks need advice beside a worker that is already approved
    Then no worker is listed

  Scenario: A gang's request lists full workers beside free ones, as the gang waits for them to drain
    Given workers a to f with room for 3 tasks each
    And workers a and b are full
    When a gang of 5 needs advice and a and b were approved before
    Then the listed workers are a, b, c, d, e and f

  Scenario: Full workers are listed if no worker is already approved
    Given workers a to f with room for 0 tasks each
    When 5 tasks need advice and a and b were approved before
    Then the listed workers are a, b, c, d, e and f

  Scenario: A step whose approved workers are full requests advice on others that have room
    Given a cell of 3 replicas whose leader sends orders to 12 workers
    And an advisor that approves every third worker and is slow for each listed worker
    And a job of 4 tasks that each need the full capacity of a worker
    When the cell runs for 1 seconds
    Then 4 tasks of the job are running
