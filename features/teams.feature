Feature: Callers use the keys, caps and shares of their teams

  # In every scenario, features/lib/called_fleet.py counts what each team runs by itself, and checks the
  # rules of job_faults.feature and that no start brings a team above its cap.

  Background:
    Given a cell of 3 replicas whose leader sends orders to 6 workers
    And the teams "red" with the keys "r1,r2" and "blue" with the key "b1"

  Scenario Outline: A <call> with <key> is answered <status> with the code <code>
    Given a job that the key "r1" submitted
    When the key <key> is used to <call> it
    Then the answer is <status> with the code <code>

    Examples: keys of the job's team, of another team, of nobody
      | call   | key     | status | code          |
      | read   | "r1"    | 200    | none          |
      | read   | "r2"    | 200    | none          |
      | read   | "b1"    | 403    | other-team    |
      | read   | "x"     | 401    | key-unknown   |
      | read   | ""      | 401    | key-unknown   |
      | cancel | "b1"    | 403    | other-team    |
      | cancel | ""      | 401    | key-unknown   |
      | submit | "r2"    | 200    | none          |
      | submit | "b1"    | 409    | job-id-in-use |
      | submit | "x"     | 401    | key-unknown   |

  Scenario Outline: A key that was <change> is <outcome> by the <leader>
    Given a job that the key "r1" submitted
    When the key "r2" is <change>, and the <leader> is asked with it to read the job
    Then the answer is <status> with the code <code>

    Examples:
      | change    | leader         | outcome  | status | code        |
      | withdrawn | same leader    | refused  | 401    | key-unknown |
      | withdrawn | next leader    | refused  | 401    | key-unknown |
      | added     | same leader    | accepted | 200    | none        |
      | added     | next leader    | accepted | 200    | none        |

  # The answer to the first request may have been lost after its job was committed. The job runs, so its
  # resend is neither accepted with a withdrawn key nor refused as a job that never runs.
  Scenario Outline: A job that is sent again after its key was withdrawn is answered <status> for <key>
    Given a job that the key "r2" submitted
    When the key "r2" is withdrawn, and the same leader is asked with <key> to submit the job
    Then the answer is <status> with the code <code>

    Examples:
      | key  | status | code            |
      | "r2" | 504    | outcome-unknown |
      | "x"  | 401    | key-unknown     |
      | "r1" | 200    | none            |

  # A process that was paused must not answer from what it knew before.
  Scenario: A leader that was paused past its lease accepts no key that was withdrawn meanwhile
    Given a job that the key "r1" submitted
    When the leader is paused, the key "r2" is withdrawn, and the leader is asked with it as it resumes
    Then the paused leader refused to answer

  Scenario: A public queue needs no key
    Given the queue is public
    When the key "" is used to submit a job
    Then the answer is 200 with the code none

  Scenario: The steps of a team that are wider than its cap run in waves
    Given the cap of "red" is 4000 millicores
    When the key "r1" submits a job of 12 tasks and 9 seconds pass
    Then every accepted job succeeded
    And "red" used 4000 millicores at most, and no less

  Scenario: A team at its cap does not hold up another team
    Given the cap of "red" is 4000 millicores
    When the key "r1" submits a job of 40 tasks and 0 seconds pass
    And the key "b1" submits a job of 12 tasks and 3 seconds pass
    Then the last job succeeded

  # The next leader knows what runs only once the workers have listed it.
  Scenario Outline: A team stays within its cap when <fault> affects the <victim> at the <moment> of a task
    Given the cap of "red" is 6000 millicores
    And a job of 18 tasks that the key "r1" submitted
    And a job of 12 tasks that the key "r1" submitted
    When <fault> affects the <victim> at the <moment> of a task
    And the faults end after 8 seconds and the cell runs for 40 more
    Then every accepted job succeeded

    Examples:
      | fault                      | victim | moment |
      | kill                       | leader | start  |
      | pause                      | leader | start  |
      | two-way partition          | leader | start  |
      | late orders                | worker | start  |
      | lost answers               | worker | end    |
      | cut off, leader kill       | worker | start  |
      | lost answers, leader pause | worker | start  |

  # Tasks that the next leader's workers have not listed take part of the cap all the same.
  Scenario: A job that the next leader accepts waits for tasks that may run on a silent worker
    Given the cap of "red" is 6000 millicores
    And a job of 6 tasks that the key "r1" submitted
    When the workers that run it are cut off, the leader is lost, and 1 second passes
    And the key "r1" submits a job of 6 tasks and 12 seconds pass
    Then every accepted job succeeded

  # The caps of the last round must not go on when there are none any more.
  Scenario: Jobs of teams that were all removed run on without a cap
    Given the cap of "red" is 4000 millicores
    When the key "r1" submits a job of 40 tasks and 0.5 seconds pass
    And all teams are removed as they run
    And the cell runs for 6 seconds
    Then every accepted job succeeded

  # Nothing that runs is stopped, so what runs counts until it has ended.
  Scenario: No task starts after a cap was lowered below what runs
    Given the cap of "red" is 20000 millicores
    When the key "r1" submits a job of 40 tasks and 0.5 seconds pass
    And the cap of "red" changes to 2000 millicores as they run
    And the cell runs for 25 seconds
    Then every accepted job succeeded

  Scenario: A gang that can never fit below the cap is refused at submission
    Given the cap of "red" is 4000 millicores
    When the key "r1" is used to submit a gang of 5 tasks
    Then the answer is 429 with the code gang-exceeds-cap
    And no task was started

  # A refusal must be true: the first attempt may be in the log already.
  Scenario: A job that is sent again while it is being committed is not refused for its team's rate
    When the key "r1" submits the same job in 8 requests at once
    Then each of them is answered with 200
