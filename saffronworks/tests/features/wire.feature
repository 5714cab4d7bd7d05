Feature: messages between nodes of two builds

  # Guards against a renamed class, field or enum value that an earlier build can't read: the codec
  # sends the names of message classes and of their fields.
  Scenario: messages of an earlier build are read and written unchanged
    Given messages that an earlier build encoded, two of each type
    Then each is decoded field for field
    And each is encoded under the same names with the same values
    And each type that nodes exchange is among them
