Feature: Advice requests are spread over many instances, so that steps wait little for the advisor

  # The advisor says which workers may run a step. It serves one request per instance at a time, so
  # the leader has several instances call it, the helpers: replicas, entry instances and, last,
  # itself.

  Scenario: Entry instances share the load of slow advice requests with the replicas
    Given 4 replicas and 8 entry instances that query an advisor that takes 0.6 seconds
    When 10 steps request advice at the same time
    Then every step has received advice within 0.8 seconds

  Scenario: A fast advice request goes to a replica although entry instances are free
    Given 4 replicas and 8 entry instances that query an advisor that takes 0.01 seconds
    When 1 step requests advice at the same time
    Then only replicas other than the leader were asked

  Scenario: A step has advice within 0.5 seconds although the first helper asked never answers
    Given 4 replicas and 8 entry instances that query an advisor that takes 0.02 seconds
    And the first helper asked never answers
    When 1 step requests advice at the same time
    Then every step has received advice within 0.5 seconds

  Scenario: A helper that failed recently is not asked again while others are free
    Given 4 replicas and 8 entry instances that query an advisor that takes 0.02 seconds
    And the first helper asked never answers
    When 40 steps request advice one after the other
    Then the first helper was asked once

  # The helpers are the replica and the leader. Both have failed recently, and must be asked again
  # all the same.
  Scenario: Advice arrives within 0.6 seconds of the end of an outage that failed every helper
    Given 1 replicas and 0 entry instances that query an advisor that takes 0.02 seconds
    And the advisor fails for 2 seconds
    When 1 step requests advice at the same time
    Then every step has received advice within 2.6 seconds

  # The leader plans some ten times a second while many steps wait.
  Scenario: A helper takes the next request as soon as it has answered one
    Given 4 replicas and 0 entry instances that query an advisor that takes 0.01 seconds
    And planning rounds are 0.1 seconds apart
    When 40 steps request advice at the same time
    Then every step has received advice within 0.3 seconds

  # Entry instances are not members of the cell, so the leader knows only from the requests that
  # they relay that they run.
  Scenario: An entry instance that has stopped relaying requests is not asked
    Given 4 replicas and 8 entry instances that query an advisor that takes 0.6 seconds
    And the entry instances relay nothing for 4 seconds
    When 2 steps request advice at the same time
    Then only replicas other than the leader were asked

  # When the traffic ends, accepted jobs still need advice for their remaining steps.
  Scenario: An entry instance whose callers are silent stays known as a helper
    Given an entry instance that can call the advisor
    When its callers send nothing for 10 seconds
    Then the leader never takes it for lost

  # The first time-out follows from the declared time and is too short; later ones are longer.
  Scenario: An advisor that is slower than declared eventually gets enough time to answer
    Given 4 replicas and 8 entry instances that query an advisor that takes 2.5 seconds
    And the advisor declares a response time of 0.9 seconds
    When 1 step requests advice at the same time
    Then every step has received advice within 5 seconds

  # The next scenarios check which workers a request lists. The advisor takes longer the more
  # workers are listed, and approves none that is not listed.

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

  Scenario: Full workers are listed if no worker is already approved
    Given workers a to f with room for 0 tasks each
    When 5 tasks need advice and a and b were approved before
    Then the listed workers are a, b, c, d, e and f

  # As the advisor is slow for each worker, a request lists 8 of the 12 workers. The advisor
  # approves 4 of the 12, each with room for one task, so one request does not find them all.
  Scenario: A step whose approved workers are full requests advice on others that have room
    Given a cell of 3 replicas whose leader sends orders to 12 workers
    And an advisor that approves every third worker and is slow for each listed worker
    And a job of 4 tasks that each need the full capacity of a worker
    When the cell runs for 1 seconds
    Then 4 tasks of the job are running

  Scenario: The longest waiting request is served although all calls begin and end together
    Given 4 replicas and 0 entry instances that query an advisor that takes 0.6 seconds
    And 1 call has been made
    When a step requests advice once while those of higher rank do again and again for 20 s
    Then the step has received advice
