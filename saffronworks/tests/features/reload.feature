Feature: reloads of the settings

  # Guards against a process that a reload right after its start ends with status -1.
  Scenario: a reload during the start does not end the process
    When a node's program gets SIGHUP during its imports
    Then it goes on

  # Guards against a node that handles no signals for a while, as a spoiled settings file has ended
  # their receiver: a SIGTERM would cut its requests.
  Scenario: whatever a settings file holds, a reload of it keeps the settings in force
    Then with any bytes in the settings file, a reload raises nothing and applies nothing
