Feature: messages between nodes of two builds

  # Guards against a renamed class, field or enum value that an earlier build can't read: the codec
  # sends the names of message classes and of their fields.
  Scenario: messages of an earlier build are read and written unchanged
    Given messages that an earlier build encoded, two of each type
    Then each is decoded field for field
    And each is encoded under the same names with the same values
    And each type that nodes exchange is among them

  # Guards against runs, limits and suspicions of other requests that a receiver doesn't get, because
  # one item of the same report is out of bounds; a planner then counts their memory as free.
  Scenario: an item that can't be read costs no other item of its message
    Given a message of each type that carries independent items
    When any item of it is spoiled on its way
    Then the receiver gets all others, and names the spoiled one

  Scenario: an item that has no encoding costs no other item of its message
    Given a node whose report has one run with more tokens than an integer of a message holds
    When the node sends the report to a planner
    Then the planner gets the other runs, and one item is counted and logged with its request
