Feature: An instance without a data folder follows the cell state, fences itself when partitioned, and never serves an older revision

  Scenario Outline: In a cell of <replicas> replicas, <event>; <outcome>
    Given a cell of <replicas> replicas and an instance that follows its state
    When <event>
    Then <outcome>

    Examples:
      | replicas | event                                                       | outcome                                                                 |
      | 3        | 300 changes are committed while the observer is partitioned | the observer catches up from a snapshot and is fresh                    |
      | 3        | the observer is partitioned for 10 seconds                  | the observer fences itself within 5 seconds and is fresh again          |
      | 3        | the observer is paused for 10 seconds                       | the observer is already fenced when it resumes, and becomes fresh again |
      | 3        | the replica that the observer reads from is partitioned     | the observer switches to another replica and is fresh                   |
      | 3        | the leader crashes                                          | the observer reaches the new leader's revision                          |
      | 5        | the leader and another replica crash at the same time       | the observer reaches the new leader's revision                          |
      | 3        | the cell has no quorum for 10 seconds                       | the observer fences itself within 6 seconds and is fresh again          |
      | 3        | the observer receives an entry from a newer version         | the observer stops with unknown-command and keeps its state             |
