Feature: What waits in memory is bounded in bytes, not only by its number

  # Guards against batches of large jobs that no follower can store within the election timeout.
  Scenario: An entry instance relays large submissions in batches of at most 1 MB
    Given a relay to a leader that answers after 100 ms
    When 40 submissions of 200 KB arrive at the same time
    Then all of them are answered
    And no batch is larger than 1 MB

  # Guards against an entry instance that runs out of memory while no leader answers.
  Scenario: An entry instance refuses submissions once 16 MB wait for a leader
    Given a relay to a leader that answers after 60 seconds
    When 200 submissions of 200 KB arrive at the same time
    Then those beyond 16 MB and 4 batches are refused at once as not sent

  # Guards against a leader that runs out of memory, or fills its disk, while nothing is committed.
  Scenario: A leader refuses changes once 32 MB wait to be committed
    Given a cell of 3 replicas with a leader and 1 changes
    When the followers are cut off and 50 changes of 1 MB are proposed
    Then the changes beyond 32 MB are refused at once
