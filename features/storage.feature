Feature: Loading truncates a torn log tail and refuses a damaged log

  Scenario: A torn tail is truncated and the entries before it are kept
    Given a log of 10 batches of 3 entries
    When the last batch is truncated in the middle
    Then the log loads 27 entries
    And 3 more entries are appended and read back

  Scenario Outline: Damage <where> is refused with the file and the offset
    Given a log of 11 batches of 3 entries
    When one byte is flipped <where>
    Then loading is refused as damaged-log with the file and the offset

    Examples:
      | where                 |
      | in the first payload  |
      | in the first header   |
      | in the fifth batch    |
      | in an earlier segment |

  Scenario: A damaged snapshot is skipped and the previous one is loaded
    Given two snapshots
    When the newest snapshot is damaged
    Then the older snapshot is loaded

  Scenario: A damaged replica identity file prevents the start
    Given a data folder with a replica identity file
    When the replica identity file is damaged
    Then loading the replica identity is refused as damaged-file

  Scenario: A batch that did not fit on a full disk leaves nothing in the log
    Given a log of 10 batches of 3 entries
    When the disk is full while one batch is appended
    Then the log loads 30 entries

  Scenario: The log stays usable after a full disk prevents a new segment
    Given a log of 10 batches of 3 entries
    When the disk is full for two appends that begin a segment, and has space for the third
    Then the log loads 33 entries

  Scenario Outline: A file creation that fails with <error> raises <exception>
    When a file is replaced and its creation fails with <error>
    Then the error raised is <exception>

    Examples:
      | error  | exception       |
      | ENOSPC | DiskFullError   |
      | EDQUOT | DiskFullError   |
      | EACCES | PermissionError |

  Scenario: Random histories of changes and faults are linearizable
    Then 15 random histories of changes and faults are linearizable
