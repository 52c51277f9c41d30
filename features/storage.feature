Feature: The log on the disk is cut where torn and refused where damaged

  Scenario: A torn tail is cut and the rest kept
    Given a log of 10 batches of 3 entries
    When the last batch is torn in the middle
    Then the log loads 27 entries
    And 3 more entries are appended and read back

  Scenario Outline: Damage <where> names the file and the offset
    Given a log of 11 batches of 3 entries
    When one byte is flipped <where>
    Then loading is refused as damaged-log naming the file and the offset

    Examples:
      | where                  |
      | in the first payload   |
      | in the first header    |
      | in the fifth batch     |
      | in an earlier segment  |

  Scenario: A damaged snapshot is passed over for the one before
    Given two snapshots
    When the newest snapshot is damaged
    Then the older one is loaded

  Scenario: A damaged identity stops the start
    Given a data folder with an identity
    When its file is damaged
    Then loading it is refused as damaged-file

  Scenario: A full disk keeps nothing of the batch that did not fit
    Given a log of 10 batches of 3 entries
    When the disk is full for one batch
    Then the log loads 30 entries

  Scenario: A full disk that refuses a new segment leaves the log in use
    Given a log of 10 batches of 3 entries
    When the disk is full as a new segment begins, and has room again
    Then the log loads 33 entries

  Scenario Outline: A file that the disk has no room for is told as a full disk
    When a file is put in place and its creation fails with <error>
    Then that is told as <told>

    Examples:
      | error  | told         |
      | ENOSPC | DiskFullError |
      | EDQUOT | DiskFullError |
      | EACCES | PermissionError |

  Scenario: A randomized run of changes and faults is linearizable
    Then 15 random histories of changes and faults are linearizable
