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
