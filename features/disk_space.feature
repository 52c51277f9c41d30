Feature: The log and the snapshots of a replica fit on its data disk

  # Guards against a log that is freed by the number of its entries and fills the disk with large ones.
  Scenario Outline: Configurations of many times the size of the disks are acknowledged while <what>
    Given a cell of 3 replicas with the platform's settings for data disks of 8 MB
    When 300 queue tables of 100 KB are sent while <what>
    Then each of them is acknowledged and no replica has ended
    And all replicas have the newest queue table after a restart of all

    Examples:
      | what                                          |
      | nothing else happens                          |
      | the leader is killed twice                    |
      | one replica is cut off for a part of the time |
      | all replicas are killed and restarted         |

  # Guards against a replica that has no room for a write beside files that no restart would read.
  Scenario Outline: A full disk has room for <write> once spare files are removed
    Given a log on a disk of 4 MB with two snapshots of 1 MB and 1 MB of entries before the newer one
    When the log is asked to store <write>
    Then it is stored, and loaded after a restart

    Examples:
      | write                          |
      | a batch of 1500 KB             |
      | a snapshot of 1500 KB          |
      | a leader's snapshot of 1500 KB |

  # Guards against the removal of the only snapshot that can be read.
  Scenario: A full disk keeps the snapshot in use where a newer one is damaged
    Given a log on a disk of 4 MB with two snapshots of 1 MB and 1 MB of entries before the newer one
    When its newer snapshot is damaged, the log is loaded and a batch of 1500 KB is stored
    Then the log can be loaded again

  # Guards against a replica that would send peers a snapshot from before the entries that it holds.
  Scenario: A snapshot that is saved while the leader's newer one is installed does not replace it
    Given a log on a disk of 4 MB with two snapshots of 1 MB and 1 MB of entries before the newer one
    When a snapshot of entry 30 is saved and the leader's snapshot of entry 50 is installed meanwhile
    Then the newest snapshot is that of entry 50
    And it is stored, and loaded after a restart

  # Guards against files that remain of each process that ended while it saved a snapshot.
  Scenario: A snapshot that was not finished before a restart is removed
    Given a log on a disk of 4 MB with two snapshots of 1 MB and 1 MB of entries before the newer one
    When a process ends while it saves a snapshot, and the log is loaded
    Then nothing is left of that snapshot

  # Guards against a state that grows until no disk holds another snapshot of it beside the log.
  Scenario: New work is refused once the state has its full size, and accepted again once it has shrunk
    Given a cell of 3 replicas with 2 workers whose state may take 1 MB
    When 20 jobs of 100 KB are submitted one after another
    Then 9 to 11 of them are accepted, and the others refused with 503 and the code state-full
    And an accepted job can be submitted again, read and cancelled
    And a change of a configuration is refused as state-full
    And one more job is accepted 150 seconds later
