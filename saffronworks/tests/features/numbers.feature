Feature: numbers in header fields, of callers and of endpoints

  # Seen in a review: a count of prompt tokens of `²`, a digit by one reading and none by another, or
  # of 5,000 digits ended a request with an error of the node's own and a traceback, in place of a
  # 400 with all findings. The same reading of an endpoint's Keep-Alive ended its connection.

  Scenario: callers who send what is no number
    Then whatever stands in fields of numbers, a caller is told 400 with each finding, or served
    And what a caller sent is shown in a few signs only

  Scenario: endpoints that send what is no number
    Then whatever an endpoint promises as the time that it keeps connections, its answer is whole

  Scenario: plain numbers
    Then whole numbers and fractions are read exactly, with blanks around them
