Feature: A replica that is gone for good is replaced in time, and one that returns keeps its place

  # Two more replicas may be lost once the successor has run for the catch-up time, here 4 s.
  Scenario Outline: A cell survives two lost disks 4 s after the successor of a lost voter started, although <event>
    Given a cell of 5 on the platform, with 20 changes
    When <lost> is lost permanently, its successor starts <delay> s later, and <event>
    Then within 4 seconds of its start the successor is a voter instead of the lost one
    When two other voters lose their data folders at the same time
    Then within 12 seconds the cell has 5 voters that have every change
    And no acknowledged change is missing at the leader

    Examples:
      | lost       | delay | event                                   |
      | a follower | 0.2   | nothing else happens                    |
      | a follower | 1.0   | nothing else happens                    |
      | the leader | 0.2   | nothing else happens                    |
      | the leader | 1.0   | nothing else happens                    |
      | a follower | 0.2   | the leader crashes 1 s later            |
      | a follower | 0.2   | the leader crashes 1.4 s later          |
      | a follower | 0.2   | the leader crashes 1.8 s later          |
      | the leader | 0.2   | the next leader crashes 1.8 s later     |
      | a follower | 0.2   | the successor restarts 1 s later        |
      | a follower | 0.2   | all replicas restart 1 s later          |

  Scenario: Two machines that are replaced soon after each other are both replaced within 4 s
    Given a cell of 5 on the platform, with 20 changes
    When two followers are lost permanently 1 s apart, each with a successor 0.2 s later
    Then within 4 seconds both successors are voters instead of the lost ones

  # A spare that came earlier is no successor of a voter that falls silent later.
  Scenario Outline: No voter is replaced by a spare replica when <disturbance>
    Given a cell of 5 on the platform, with 20 changes
    And a spare replica that started 5 s ago
    When <disturbance>
    Then after 8 seconds the cell has the same voters as before

    Examples:
      | disturbance                                 |
      | a follower pauses for 6 s                   |
      | the leader pauses for 3 s                   |
      | a follower is cut off for 6 s               |
      | the leader is cut off for 6 s               |
      | a follower restarts after 3 s               |
      | the leader restarts after 3 s               |
      | all replicas pause for 3 s                  |
      | all replicas restart after 3 s              |

  Scenario Outline: No more voters are replaced than machines went away under random pauses, cuts and restarts, seed <seed>
    Given a cell of 5 on the platform, with 20 changes
    And a spare replica that started 5 s ago
    When voters pause, are cut off or restart 8 times for up to 3 s
    Then after 8 seconds the cell has the same voters as before

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  # Nothing tells which of the two is gone, until one returns.
  Scenario: A lost voter is replaced by a voter that was taken for it and returns
    Given a cell of 5 on the platform, with 20 changes
    When a follower pauses for 3.2 s, another one is lost permanently at once and a successor starts
    Then within 4 seconds both the successor and the paused replica are voters, and the lost one is not

  # The new machine comes first, and the other one ends by a signal that it announces.
  Scenario Outline: A machine that is replaced as planned loses its place to the new one before it has ended, <who>
    Given a cell of 5 on the platform, with 20 changes
    When a replica starts, and 1 s later <who> announces that it leaves and ends after 2 s
    Then within 4 seconds of its start the successor is a voter instead of the lost one

    Examples:
      | who        |
      | a follower |
      | the leader |

  Scenario: A voter that restarts beside a spare replica keeps its place
    Given a cell of 5 on the platform, with 20 changes
    And a spare replica that started 5 s ago
    When the voters announce that they leave and start again one by one, 10 s later
    Then after 8 seconds the cell has the same voters as before

  # Without it, and without the silent ones, the rest could not commit its removal.
  Scenario: A voter that leaves keeps its place while two others are silent
    Given a cell of 5 on the platform, with 20 changes
    And two followers that are cut off
    When a replica starts, and 1 s later a follower announces that it leaves
    Then the cell still commits changes

  # A machine that runs again during the wait answers, so that only the other one is replaced.
  Scenario: Of two silent voters, the one that returns keeps its place when one successor comes
    Given a cell of 5 on the platform, with 20 changes
    When a follower pauses for 2.2 s, another is lost permanently and a successor starts 0.2 s later
    Then within 4 seconds of its start the successor is a voter instead of the lost one
