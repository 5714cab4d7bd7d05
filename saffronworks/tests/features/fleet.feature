Feature: nodes agree on members, documents and owners

  Scenario: a document's version never decreases
    Given any order of pushes, pulls and comparisons between nodes
    Then no node ever accepts an older version

  Scenario: nodes that exchange digests converge on the same versions
    Given any spread of versions over nodes
    When they exchange heartbeats for a while
    Then every node has the highest version of each document

  Scenario: a sign-off whose reply was lost is settled by reading back
    Given a store that applies a sign-off and loses the reply
    Then the sign-off is accepted once

  Scenario: racing operators get a conflict that names the other
    Given another operator signed off first
    Then the sign-off is refused and names the other

  Scenario: a sign-off in an outage is unsettled, and may be sent again
    Given a store that does not answer
    Then the sign-off is unsettled
    And the same sign-off id is accepted once the store is back

  Scenario: a silent member is suspected, then declared dead, and rejoins
    Given a fleet of 8 nodes
    When one node is silent for 10 s
    Then all others consider it dead
    And once it responds again all consider it alive

  Scenario: a node that resumes after a pause does not declare the others dead
    Given a fleet of 8 nodes
    When one node is paused for 10 s
    Then after a few heartbeats every node sees all members alive

  Scenario: nodes short of CPU time declare no member dead
    Given a fleet of 30 nodes
    When all process their messages 300 to 900 ms late for 60 s
    Then no member was declared dead
    And once the delay ends a death is detected within the usual time

  Scenario: a zone rejoins by itself after a partition
    Given a fleet of 9 nodes
    When one zone is cut off for 30 s
    Then after 30 s every node sees all members alive

  Scenario: all views converge after any faults
    Given any pauses and cuts in a fleet
    Then after quiet time all live nodes agree on members and versions

  Scenario: all nodes choose the same owner, and few cells move when a member leaves
    Given 40 members and 200 cells
    Then each member that leaves moves only its own cells
    And the choice agrees with a naive search

  Scenario: every endpoint is in exactly one cell and each cell has both roles
    Given any pool of endpoints
    Then its cells hold each endpoint once and both roles each

  Scenario: a node uses few cells of a large pool, and all nodes together use them evenly
    Given a pool of 600 endpoints before 300 nodes
    Then each node uses 8 cells
    And no cell is used by more than twice as many nodes as the mean, or by none

  Scenario: all nodes that come back to the store at once stay within its rate
    Given 1600 nodes that each want to read 3 times at once
    Then the store gets no more than 2000 reads in any second
    And 8 nodes that do the same are not delayed

  Scenario: a node that starts in a store outage serves what its peers have
    When a node starts while the store is down
    Then it becomes ready with the version of its peers

  Scenario: a bundle is in force on every node and a lost reply signs off once
    When a bundle is signed off while the store loses its reply
    Then the version is in force on every node
    And the version increased by one
