Feature: The replicated log keeps every acknowledged change under faults of replicas, disks and the network

  # The fault begins at the first request of the step and lasts while changes are proposed. Changes may fail,
  # but a change must not be acknowledged before a quorum has synced it.
  Scenario Outline: Acknowledged changes survive <fault> of the <target> at <step>
    Given a cell of 3 replicas with a leader and 5 changes
    When the fault <fault> is injected into the <target> at <step>
    And 5 more changes are proposed over 6 seconds
    Then after recovery no acknowledged change is lost, applied twice or rolled back

    Examples: election
      | fault             | target    | step     |
      | kill              | candidate | election |
      | pause             | candidate | election |
      | one-way partition | candidate | election |
      | two-way partition | candidate | election |
      | slow disk         | candidate | election |
      | full disk         | candidate | election |
      | failed sync       | candidate | election |
      | lost answers      | follower  | election |
      | doubled messages  | candidate | election |
      | late messages     | candidate | election |

    Examples: append, fault of the leader
      | fault             | target | step   |
      | kill              | leader | append |
      | pause             | leader | append |
      | one-way partition | leader | append |
      | two-way partition | leader | append |
      | slow disk         | leader | append |
      | full disk         | leader | append |
      | failed sync       | leader | append |
      | lost answers      | leader | append |
      | doubled messages  | leader | append |
      | late messages     | leader | append |

    Examples: append, fault of a follower
      | fault             | target   | step   |
      | kill              | follower | append |
      | pause             | follower | append |
      | one-way partition | follower | append |
      | two-way partition | follower | append |
      | slow disk         | follower | append |
      | full disk         | follower | append |
      | failed sync       | follower | append |
      | lost answers      | follower | append |
      | late messages     | follower | append |

    Examples: commit
      | fault             | target   | step   |
      | kill              | leader   | commit |
      | pause             | leader   | commit |
      | one-way partition | leader   | commit |
      | two-way partition | leader   | commit |
      | slow disk         | leader   | commit |
      | full disk         | leader   | commit |
      | failed sync       | leader   | commit |
      | lost answers      | follower | commit |
      | doubled messages  | leader   | commit |
      | late messages     | leader   | commit |

    Examples: snapshot install
      | fault             | target   | step             |
      | kill              | follower | snapshot install |
      | kill              | leader   | snapshot install |
      | pause             | follower | snapshot install |
      | one-way partition | follower | snapshot install |
      | two-way partition | leader   | snapshot install |
      | slow disk         | follower | snapshot install |
      | full disk         | follower | snapshot install |
      | failed sync       | follower | snapshot install |
      | lost answers      | follower | snapshot install |
      | doubled messages  | leader   | snapshot install |
      | late messages     | leader   | snapshot install |

    Examples: membership change
      | fault             | target   | step              |
      | kill              | leader   | membership change |
      | kill              | follower | membership change |
      | pause             | leader   | membership change |
      | one-way partition | leader   | membership change |
      | two-way partition | leader   | membership change |
      | slow disk         | leader   | membership change |
      | full disk         | leader   | membership change |
      | failed sync       | leader   | membership change |
      | lost answers      | follower | membership change |
      | doubled messages  | leader   | membership change |
      | late messages     | leader   | membership change |

    Examples: leadership transfer
      | fault             | target    | step                |
      | kill              | leader    | leadership transfer |
      | kill              | successor | leadership transfer |
      | pause             | leader    | leadership transfer |
      | pause             | successor | leadership transfer |
      | one-way partition | leader    | leadership transfer |
      | two-way partition | successor | leadership transfer |
      | slow disk         | successor | leadership transfer |
      | full disk         | successor | leadership transfer |
      | failed sync       | successor | leadership transfer |
      | lost answers      | successor | leadership transfer |
      | doubled messages  | leader    | leadership transfer |
      | late messages     | leader    | leadership transfer |

  # Three of five replicas are a quorum, so two faulty ones must not stop the cell.
  Scenario Outline: Five replicas acknowledge changes despite <fault> of the <target> at <step> and <other> of another
    Given a cell of 5 replicas with a leader and 5 changes
    When the fault <fault> is injected into the <target> at <step>
    And the fault <other> is injected into another replica
    And 5 more changes are proposed over 6 seconds
    Then all 5 of these changes are acknowledged
    And after recovery no acknowledged change is lost, applied twice or rolled back

    Examples:
      | fault             | target   | step   | other             |
      | kill              | follower | append | kill              |
      | kill              | follower | append | two-way partition |
      | pause             | follower | append | kill              |
      | two-way partition | follower | append | slow disk         |
      | failed sync       | follower | append | full disk         |
      | kill              | follower | commit | lost answers      |

  # Until the replacement is a voter in place of the old replica id, another loss ends the quorum.
  Scenario: A cell survives the loss of a second replica right after the first was replaced
    Given a cell of 3 replicas with a leader and 5 changes
    When a follower loses its data folder and is restarted
    And that follower becomes a voter under a new replica id
    And another follower is killed
    And 5 more changes are proposed over 6 seconds
    Then all 5 of these changes are acknowledged
    And after recovery no acknowledged change is lost, applied twice or rolled back

  # Replicas with empty logs that voted or answered under their old replica ids would be a quorum that does
  # not know the acknowledged changes.
  Scenario: No change is acknowledged after both followers lose their data folders
    Given a cell of 3 replicas with a leader and 5 changes
    When both followers lose their data folders at the same time and are restarted
    And 5 more changes are proposed over 6 seconds
    Then none of these 5 changes is acknowledged

  # A caller resends a change whose answer was lost. It must get the stored result, also from the next leader,
  # not a conflict with its own change.
  Scenario: One of several concurrent changes at the same revision succeeds, and a resent one gets the same result
    Given a cell of 3 replicas with a leader and 5 changes
    When 8 operators each send a change of one configuration at the same revision twice
    Then exactly one operator's change succeeds
    And each resent change gets the result of the first attempt
    And a change resent after a leadership transfer gets the result of the first attempt

  # A restarted replica does not know when it last answered the leader, which may act until its lease expires.
  # With a vote before that, two leaders could act at the same time.
  Scenario: Restarted replicas withhold their votes until the lease of a leader out of reach has expired
    Given a cell of 3 replicas with a leader and 5 changes
    When the followers are killed and restarted while the leader is cut off
    Then when the leader lease ends both withhold votes, and a tenth of it later neither does

  # Its lease has ended with its process, so nothing is gained by waiting until it would have expired.
  Scenario: Replicas that have all restarted elect a leader without waiting for the last lease
    Given a cell of 3 replicas with a leader and 5 changes
    When all replicas are killed and restarted
    Then a leader has committed an entry of its term before half of the last lease is over
    And after recovery no acknowledged change is lost, applied twice or rolled back

  # With a term of its own it would depose the leader that it has just helped to elect.
  Scenario: A candidate that grants a vote during its pre-vote does not stand in a later term
    Given a cell of 3 replicas with a leader and 5 changes
    When the leader is lost and a follower grants the other one a vote while its own pre-vote runs
    Then the follower has stayed in the term of that vote

  # A replica that started earlier tries to connect to it at intervals only.
  Scenario: The last replica to restart is known to the others by its own queries
    Given a cell of 3 replicas with a leader and 5 changes
    When all replicas are killed and restarted, and none can connect to the last one
    Then the others know within 0.02 seconds that the last one has restarted

  Scenario: A statement of a restart that may be older than the process does not count
    Given a cell of 3 replicas with a leader and 5 changes
    When a restarted replica is told of another's restart with the id of its former process
    Then it does not count the other as restarted

  Scenario: Replicas that have restarted do not wait for a voter whose data folder was lost with its process
    Given a cell of 3 replicas with a leader and 5 changes
    When all replicas are killed and one follower restarts with an empty data folder
    Then a leader has committed an entry of its term before half of the last lease is over

  Scenario: A voter that has heard from a leader since its restart grants no early vote
    Given a cell of 3 replicas with a leader and 5 changes
    When a follower is killed and restarted and hears from the leader
    Then it refuses a vote for which the candidate says that all voters have restarted

  # Leaders are killed and cut off at random moments around restarts of all others.
  Scenario Outline: At no time do two replicas lead while replicas restart at random, seed <seed>
    Given a cell of 5 replicas with a leader and 5 changes
    When replicas are killed, cut off and restarted at random for 6 seconds, seed <seed>
    Then after recovery no acknowledged change is lost, applied twice or rolled back

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |
      | 7    |
      | 8    |
      | 9    |
      | 10   |

  # Under steady changes, with elections, snapshots, ends of segments and membership changes meanwhile. Of the
  # five or three disks, at most one is full at a time.
  Scenario Outline: Changes are acknowledged after the disks of <size> replicas were full in turn and <kind>
    Given <size> replicas whose disks <kind> while they are full, one after another
    Then changes are acknowledged in time, none is lost and all replicas run on, for 3 seeds

    Examples:
      | size | kind                          |
      | 3    | refuse creations and writes   |
      | 5    | refuse creations and writes   |
      | 3    | refuse writes                 |
      | 5    | refuse writes                 |
      | 3    | have room for small files     |
      | 5    | have room for small files     |
      | 3    | refuse syncs                  |
      | 5    | refuse syncs                  |
      | 3    | refuse writes and truncations |
      | 5    | refuse writes and truncations |
      | 3    | refuse every call             |
      | 5    | refuse every call             |

  # The next leader would count an entry as committed that this replica does not have.
  Scenario: An append that waits while a full disk refuses earlier entries is not answered as stored
    Given a cell of 3 replicas with a leader and 5 changes
    When the leader's disk stalls and is full, and meanwhile it gets an entry of the next leader
    Then it does not answer that it has stored an entry that it has dropped
    And after recovery no acknowledged change is lost, applied twice or rolled back

  # It would lead on without its first entry, so that it neither acts as the leader nor is replaced.
  Scenario: A replica that is elected while a full disk refuses its entries does not lead without them
    Given a cell of 3 replicas with a leader and 25 changes
    When a follower's disk stalls and is full, and meanwhile it becomes the leader
    Then 5 changes are acknowledged within 5 seconds after its disk has room again
    And after recovery no acknowledged change is lost, applied twice or rolled back

  Scenario Outline: A replica runs on that cannot store its metadata for want of space, <case>
    Given a cell of 3 replicas with a leader and 5 changes
    When <case>
    Then 5 changes are acknowledged within 5 seconds after its disk has room again
    And after recovery no acknowledged change is lost, applied twice or rolled back

    Examples:
      | case                                                                                       |
      | a follower's disk is full while the leadership is transferred twice                        |
      | the leader's disk is full while it transfers the leadership and no vote request reaches it |
      | a new replica's disk is full while it joins                                                |
