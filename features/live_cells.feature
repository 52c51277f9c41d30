Feature: Live cells of the tests depend neither on free ports nor on the speed of the machine's disk

  # A port that is only probed can be given to two servers.
  Scenario: A reserved port is given to no other socket until its server listens
    Given a reserved address
    When another socket asks for the port of the address
    Then the port is refused to it
    And a server can listen on the address twice in a row

  # Their leader leases are shorter than a slow sync.
  Scenario: A live cell commits a record without a sync of the machine's disk
    Given a live cell of 3 instances while syncs are counted
    When the example records are submitted to the instances in turn
    Then no file was synced

  Scenario: A record that a cell acknowledged on the machine's disk is there after a restart
    Given a live cell of one instance on the machine's disk, with the default timeouts
    When the example records are submitted to the instances in turn
    And the cell is stopped and started again on its folder
    Then every accepted record is there
