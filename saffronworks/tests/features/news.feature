Feature: two nodes of an availability zone watch the store and publish updates to the others

  Scenario: calls to the store grow with zones, not with nodes
    Then in a zone of forty nodes two call the store, and all know of a change at once
    And in a zone of eight each node calls the store itself, as often as without publishers

  Scenario: both publishers fail
    Then if both are dead, the others know of a change in time and the next pair publishes
    And the same holds if both are cut off from the store
    And when they are back they publish again, and the others stop calling the store

  Scenario: updates that can't be applied
    Then old updates change nothing, and an update with a gap makes a node call the store
    And a node that missed an update calls the store once, and knows all changes
    And objects too large for an update make nodes call the store
    And a late answer is not published

  Scenario: a node that is cut off from the store receives updates
    Then it follows the updates of its peers
    And a publisher that loses its watch follows the updates of the other publisher

  Scenario: the strong nodes of a zone publish
    Then weak nodes publish only if there are too few strong ones
    And nodes that have just discovered each other do not all publish

  # Guards against nodes that compare the revisions of updates of different epochs.
  Scenario: the store is restored from an older copy
    Then few nodes list it again, and all know of its changes in time, whatever their revisions
    And updates of an earlier epoch, or without an epoch, change nothing
    And a watch in an earlier epoch ends once any answer shows the later one
