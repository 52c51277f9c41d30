Feature: A team's jobs beyond its rate use spare capacity only

  Scenario: A team that floods a full fleet is refused beyond its rate, and others are not
    Given no spare capacity, and teams "large" of 40 and "small" of 2 jobs a second
    When "large" sends 200 and "small" 2 jobs a second for 5 seconds
    Then between 190 and 250 jobs of "large" are accepted, all of them within its share
    And every job of "small" is accepted

  # Its jobs within the rate take spare capacity as well.
  Scenario: A team uses spare capacity beyond its rate
    Given spare capacity for 50 jobs, and teams "large" of 10 and "small" of 2 jobs a second
    When "large" sends 100 and "small" 0 jobs a second for 1 seconds
    Then between 50 and 60 jobs of "large" are accepted, 30 or more of them beyond its share

  # A long job can wait; refusing it would waste what is free later.
  Scenario Outline: <priority> jobs <which> a team's rate are <outcome> when they would wait <wait> s
    Given no spare capacity, and teams "large" of 10 and "small" of 2 jobs a second
    When work waits for <urgent> s up to urgent and <wait> s up to normal priority
    Then <priority> jobs <which> the rate of a team are <outcome>

    Examples: a target latency of 4 s, of which a job runs 1 s; overdue after 12 s
      | priority | which  | urgent | wait | outcome              |
      | normal   | beyond | 0      | 2.5  | beyond-share         |
      | normal   | beyond | 0      | 3.5  | refused-beyond-share |
      | normal   | within | 0      | 10   | within-share         |
      | normal   | within | 0      | 12   | refused-hopeless     |
      | urgent   | within | 1      | 30   | within-share         |
      | urgent   | within | 12     | 30   | refused-hopeless     |

  Scenario Outline: The predicted wait follows the capacity or the leader's rate of starts
    Given <tasks> waiting tasks of <run> s on 2 cores, of <cores> cores in use
    Then at <rate> starts a second, the next job waits for <wait> s

    Examples:
      | tasks | run | cores | rate | wait |
      | 1000  | 4   | 2000  | 500  | 4    |
      | 1000  | 0.5 | 2000  | 500  | 2    |
      | 20    | 0.5 | 2000  | 10   | 0.01 |

  # The inherited work that waits would otherwise be divided by the starts of its first rounds.
  Scenario: A new leader predicts no wait from the starts of its first fraction of a second
    Given 200 waiting tasks of 0.6 s on 5 cores, of 5000 cores in use
    Then with 32 starts in the first 0.1 seconds, the next job waits for 0.12 s

  # Callers that all return at once would be refused again.
  Scenario: Refused callers return one after the other, at the rate of their team
    Given no spare capacity, and teams "large" of 20 and "small" of 2 jobs a second
    When "large" sends 100 and "small" 0 jobs a second for 1 seconds
    Then no 0.5 seconds after the first return have more than 11 returns
    And no refusal asks for more than 4 seconds

  # The requests of an outage arrive together at the next leader.
  Scenario: A team may send three seconds of its rate to a new leader at once
    Given a new leader without spare capacity, and teams "large" of 20 and "small" of 2 jobs a second
    When "large" sends 60 and "small" 0 jobs a second for 1 seconds
    Then every job of "large" is accepted

  Scenario: A new leader refuses nothing before it knows its capacity
    Given an unknown capacity, and teams "large" of 20 and "small" of 2 jobs a second
    When "large" sends 100 and "small" 0 jobs a second for 1 seconds
    Then every job of "large" is accepted

  # The end of a burst must not be met with refusals.
  Scenario: Jobs are accepted again as soon as capacity is spare
    Given no spare capacity, and teams "large" of 20 and "small" of 2 jobs a second
    When "large" sends 100 and "small" 0 jobs a second for 1 seconds
    And capacity for 10 jobs becomes spare
    Then the next 10 jobs of "large" are accepted

  Scenario Outline: A <first> step precedes a <second> one
    Then a <first> step ranks before a <second> one

    Examples:
      | first                        | second                         |
      | late within-share            | timely beyond-share            |
      | timely                       | late                           |
      | urgent over-share            | normal under-share             |
      | normal under-share           | normal over-share              |

  # Only what a silent worker can hold is charged, so one of them does not stop a team.
  Scenario Outline: Unaccounted tasks of a team are charged up to the capacity of silent workers
    Given a cap of 10000, 2000 in use, <unaccounted> unaccounted and <silent> millicores on silent workers
    Then the team may start <room> millicores

    Examples:
      | unaccounted | silent | room |
      | 0           | 8000   | 8000 |
      | 3000        | 8000   | 5000 |
      | 9000        | 4000   | 4000 |
      | 9000        | 0      | 8000 |
