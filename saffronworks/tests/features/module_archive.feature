Feature: modules are imported from an archive

  # Without the archive a start takes a third more processor time, as it searches for each module and
  # compiles what attrs generates for each class. An invalid archive must not prevent a start.

  Background:
    Given an archive of a small program, written by the build

  Scenario: a program imported from the archive behaves as from its source
    When a process imports the program while its source is gone
    Then its classes work as from source, and the import system is restored afterwards

  Scenario Outline: an invalid archive is reported
    When the archive is <damage>
    Then the process reports it and leaves the import system unchanged

    Examples:
      | damage               |
      | empty                |
      | cut off in its index |
      | cut off in its code  |
      | no archive           |
