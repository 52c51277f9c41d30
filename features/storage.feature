Feature: Replicas keep stored data through torn writes and full disks, detect damaged files, and stay linearizable

  # A crash during an append leaves a part of the last batch, which was not acknowledged.
  Scenario: A torn tail is truncated and the entries before it are kept
    Given a log of 10 batches of 3 entries
    When the last batch is truncated in the middle
    Then the log loads 27 entries
    And 3 more entries are appended and read back

  # Damage to synced entries must not pass for a torn tail, as truncation would lose acknowledged changes.
  Scenario Outline: Damage <where> is refused with the file and the offset
    Given a log of 11 batches of 3 entries
    When one byte is flipped <where>
    Then loading is refused as damaged-log with the file and the offset

    Examples:
      | where                                    |
      | in the first payload of the last segment |
      | in the first header of the last segment  |
      | in the third segment                     |
      | in the first segment                     |

  Scenario: A damaged snapshot is skipped and the previous one is loaded
    Given two snapshots
    When the newest snapshot is damaged
    Then the older snapshot is loaded

  # The file also holds the term and the vote. A replica that started without them could vote twice in a term.
  # Without that entry the replica can apply no later one, and its process ends at every start.
  Scenario: A restart after a snapshot from the leader keeps the entry that follows the snapshot
    Given a log that was replaced by a snapshot of 20 entries and got 3 more entries
    When the log is loaded again
    Then it holds exactly the 3 entries after the snapshot

  Scenario: A damaged replica identity file is refused
    Given a data folder with a replica identity file
    When the replica identity file is damaged
    Then loading the replica identity is refused as damaged-file

  Scenario: A batch that did not fit on a full disk leaves nothing in the log
    Given a log of 10 batches of 3 entries
    When the disk is full while one batch is appended
    Then the log loads 30 entries

  # The creation of the segment fails before anything is written to it, and must be tried again.
  Scenario: The log stays usable after a full disk prevents a new segment
    Given a log of 10 batches of 3 entries
    When the disk is full for two appends that begin a segment, and has space for the third
    Then the log loads 33 entries

  # What a refused batch left in the file must not be read after a shorter one that took its place.
  Scenario Outline: A batch of which a full disk refused to <refused> leaves nothing behind later entries
    Given a log of 10 batches of 3 entries
    When the disk refuses <refused> for an append of 3 entries, then takes 1 entry of a later term
    Then the log loads 31 entries
    And the last entry is of term 2

    Examples:
      | refused         |
      | write           |
      | write, truncate |
      | sync            |
      | sync, truncate  |
      | sync folder     |

  Scenario Outline: Entries that a full disk refused to <refused> are removed before later ones are stored
    Given a log of 10 batches of 3 entries
    When the disk refuses <refused> while entries from 20 on are removed, then takes that one
    Then the log loads 20 entries

    Examples:
      | refused     |
      | remove      |
      | sync folder |
      | truncate    |

  # A replica keeps running without disk space, but not after other errors of its disk.
  Scenario Outline: A file whose <call> fails with <error> is not replaced, and <exception> is raised
    When a file is replaced and <call> fails with <error>
    Then the error raised is <exception>

    Examples:
      | call      | error  | exception       |
      | open      | ENOSPC | DiskFullError   |
      | open      | EDQUOT | DiskFullError   |
      | open      | EACCES | PermissionError |
      | pwrite    | ENOSPC | DiskFullError   |
      | pwrite    | EIO    | SyncFailedError |
      | fdatasync | ENOSPC | DiskFullError   |
      | fdatasync | EIO    | SyncFailedError |
      | rename    | ENOSPC | DiskFullError   |

  # Guards against a change that is acknowledged and lost, or applied twice, after several faults in a row.
  Scenario: Random histories of changes and faults are linearizable
    Then 15 random histories of changes and faults are linearizable
