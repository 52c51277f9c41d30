Feature: A cell finds its members by a few seeds, and replaces those that are gone

  Scenario Outline: Five instances that know three seeds form one cell, the last to start being <late>
    Given 5 instances that know the first 3 as seeds
    When <late> starts 3 seconds after the others
    Then within 10 seconds they are one cell of 5 voters

    Examples:
      | late        |
      | a seed      |
      | the coordinator |
      | no seed     |

  Scenario: Instances whose system has started before never form a cell
    Given 5 instances that know the first 3 as seeds and may not form a cell
    When 20 seconds go by
    Then there is no cell

  Scenario Outline: A voter that is gone for good is replaced while <fault>
    Given a cell of 5 found by seeds, with 20 changes
    When a voter is gone for good, a newcomer starts elsewhere, and <fault> once <step>
    Then within 40 seconds the newcomer votes in the place of the voter that is gone
    And no change is lost

    Examples:
      | fault              | step                       |
      | nothing happens    | the newcomer is a learner  |
      | the leader dies    | the newcomer is a learner  |
      | the leader dies    | the lost voter is removed  |
      | the leader dies    | the newcomer votes         |
      | the leader freezes | the lost voter is removed  |
      | the newcomer dies  | the lost voter is removed  |

  Scenario: A voter that was replaced joins again as a learner when it comes back
    Given a cell of 5 found by seeds, with 20 changes
    When a voter is cut off until a newcomer has replaced it, and comes back
    Then within 20 seconds it is a learner that has every change

  Scenario: A voter whose disk was lost comes back at its old address as a new replica
    Given a cell of 5 found by seeds, with 20 changes
    When a voter loses its disk and starts again
    Then within 20 seconds the cell has 5 voters that have every change
    And no change is lost
