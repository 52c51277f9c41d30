Feature: A cell forms through seeds, and replaces voters that are lost

  # Only the coordinator, the seed with the lowest address, may form the cell, and only once it knows five
  # instances. Otherwise parts of the instances could form cells of their own.
  Scenario Outline: Five instances with three seeds form one cell although <late> starts late
    Given 5 instances with the first 3 as seeds
    When <late> starts 3 seconds after the others
    Then within 10 seconds the instances form one cell of 5 voters

    Examples:
      | late            |
      | a seed          |
      | the coordinator |
      | a non-seed      |

  # may_form is 0 at all starts but the first. Instances that lost their data folders, or cannot reach the
  # others, would otherwise form a second, empty cell.
  Scenario: Instances that may not form a cell form none within 20 seconds
    Given 5 instances with the first 3 as seeds that may not form a cell
    When the instances run for 20 seconds
    Then no cell is formed

  # The replacement takes several membership changes. A leader or a replacement that fails between two of
  # them must not leave the replacement half done, nor lose a change.
  Scenario Outline: A permanently lost voter is replaced although <fault> once <step>
    Given a cell of 5 formed through seeds, with 20 changes
    When a voter is lost permanently, a replacement starts at a new address, and <fault> once <step>
    Then within 40 seconds the replacement is a voter instead of the lost one
    And no acknowledged change is missing at the leader

    Examples:
      | fault                   | step                         |
      | nothing else fails      | the replacement is a learner |
      | the leader crashes      | the replacement is a learner |
      | the leader crashes      | the lost voter is removed    |
      | the leader crashes      | the replacement is a voter   |
      | the leader pauses       | the lost voter is removed    |
      | the replacement crashes | the lost voter is removed    |

  # The leader no longer sends to a removed voter, so the voter has to ask to join again.
  Scenario: A replaced voter rejoins as a learner when it is reachable again
    Given a cell of 5 formed through seeds, with 20 changes
    When a voter is partitioned until a replacement is a voter, and the partition then ends
    Then within 20 seconds the former voter is a learner that has every change

  Scenario: A new replica joins within 2 seconds although a seed is frozen
    Given a cell of 5 formed through seeds, with 20 changes
    When a seed freezes and a new replica starts
    Then within 2 seconds the new replica is a learner

  # It must not count under its old replica id, as it no longer has the entries that it acknowledged.
  Scenario: A voter that lost its data folder rejoins at its old address as a new replica
    Given a cell of 5 formed through seeds, with 20 changes
    When a voter loses its data folder and restarts
    Then within 20 seconds the cell has 5 voters that have every change
    And no acknowledged change is missing at the leader
