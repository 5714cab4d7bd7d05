Feature: endpoints that fall silent for a while and go on

  # Guards against requests that are lost, ended early or run twice because a sound endpoint was
  # silent for a second or so.
  Scenario Outline: the only endpoint is silent for 1.3 s in one phase of a request
    When the only endpoint is silent before its <step> of a <kind>
    Then the caller gets one whole answer, and the next caller too
    And it ran once

    Examples:
      | step    | kind             |
      | hold    | stream           |
      | prefill | stream           |
      | answer  | stream           |
      | event   | stream           |
      | hold    | resumable stream |
      | prefill | resumable stream |
      | answer  | resumable stream |
      | answer  | page             |
      | answer  | repeatable page  |

  # Guards against a living run that is given up, and cut where no memory is free for another one.
  Scenario: the only endpoint is silent for 1.3 s between two events of a resumable stream
    When the only endpoint is silent before its event of a resumable stream
    Then the caller gets one whole answer, and the next caller too
    And it ran once
