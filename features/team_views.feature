Feature: Operators see what teams may use, do use and wait for

  Background:
    Given a cell of 3 replicas whose leader sends orders to 2 workers
    And the viewed teams large:3:4000 middle:1:0 small:0:0

  Scenario: The view shows the limits of a team, its work and what waits for its cap
    When team large submits a job of 6 tasks
    Then the view of team large shows
      | weight: 3.0          | cap: {"processors": 4000} | entitled_share: 0.75 | dominant_share: 0.25 |
      | configured: true     | running: 4                | uncertain: 0         | waiting_tasks: 2     |
      | waits_for_cap: true  | waiting_jobs: 0           | accepted_within: 1   | jobs_per_s: 0.2      |
    And the view of team small shows
      | cap: {}              | running: 0                | refused: {}          | waits_for_cap: false |

  Scenario: Tasks whose start orders are not answered are shown as uncertain
    Given workers that lose their answers
    When team small submits a job of 3 tasks
    Then the view of team small shows
      | running: 0 | uncertain: 3 |

  Scenario: The view counts what was accepted beyond a team's rate, and what was refused by reason
    When team large submits a gang of 5 tasks
    And team small submits a job of 1 tasks
    And team large reads the last job
    And team small submits a job of 1 tasks
    And team small submits a job of 1 tasks
    And team small submits a job of 1 tasks
    And team small submits a job of 90 tasks
    And team small submits a job of 1 tasks
    Then the view of team large shows
      | accepted_within: 0 | accepted_beyond: 0 | refused: {"gang-exceeds-cap": 1, "other-team": 1} |
    And the view of team small shows
      | accepted_within: 3 | accepted_beyond: 2 | refused: {"beyond-share": 1} |

  # Otherwise the counters would grow with every team that the operator ever named.
  Scenario: A removed team is shown while its tasks run, and its counters are dropped
    When team small submits a job of 2 tasks
    And the viewed teams are only large:3:4000
    And team large submits a job of 1 tasks
    Then the view of team small shows
      | configured: false | running: 2 | accepted_within: 0 |
    And counters are kept for 1 team

  Scenario: The log tells once a second that steps wait for their team's cap, with the numbers
    When team large submits a job of 6 tasks
    And team large submits a job of 2 tasks
    Then the log has 2 to 3 lines on the cap of team large, of 4000 millicores used and 4000 waiting

  Scenario Outline: A replica that does not lead names <named> as the leader
    When a follower that knows <named> as the leader is asked for <path>
    Then its answer has status 503 and names <named>

    Examples:
      | path             | named     |
      | /v1/teams        | 10.0.0.1  |
      | /v1/interference | 10.0.0.1  |
      | /v1/teams        | nobody    |

  Scenario: The model of interference is shown whatever its fields are, and a failure is contained
    Then the view of interference is {"is_enabled": false, "pairs": [], "workers": [], "changed_placements": 0}
    When the planner describes interference by dataclasses
    Then the view of interference is {"kinds": ["a", "b"], "age_s": null, "slow": {"w / 1": 0.55}}
    When the planner describes interference by a key's digest
    Then the leader answers GET /v1/interference with status 500
    And the leader answers POST /v1/teams with status 405
    And the leader answers GET /metrics with status 299

  Scenario: No key and no digest of a key is in a view, a metric or the log
    When team small submits a job of 2 tasks
    And team nobody submits a job of 2 tasks
    Then no key and no digest of a key is in the views, the metrics or the log

  Scenario: Metrics by team have labels for 32 teams, and count the rest together
    Then of 40 teams with 2 accepted jobs and 1 refusal each, 32 have labels and 8 are counted as other

  Scenario Outline: The command <command> follows a replica that names <named>, once
    Given a replica and an entry instance on the platform's interfaces, with one HTTP worker
    And a replica that names <named> as the leader
    When the command <command> with --output <output> asks that replica
    Then it ends with status <status> and prints "<text>"

    Examples:
      | command      | named     | output | status | text               |
      | teams        | the other | table  | 0      | jobs counted for   |
      | teams        | the other | json   | 0      | "teams": []        |
      | interference | the other | table  | 0      | pairs: none        |
      | interference | the other | json   | 0      | "workers": []      |
      | teams        | itself    | table  | 1      | not-leader         |
      | teams        | the entry | table  | 1      | does not serve     |
