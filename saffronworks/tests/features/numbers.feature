Feature: numbers in header fields of callers and endpoints

  # Guards against unhandled errors on malformed numbers. A count of prompt tokens of `²`, which
  # `str.isdigit` accepts and `int` rejects, or of 5,000 digits ended a request with a traceback in
  # place of a 400 with all findings. In an endpoint's Keep-Alive they ended its connection.

  Scenario: malformed numbers from callers
    Then with any text in numeric fields, a caller gets status 400 with each finding, or is served
    And findings show only a few characters of what a caller sent

  Scenario: malformed numbers from endpoints
    Then with any text as the timeout of an endpoint's Keep-Alive, its answer is complete

  Scenario: valid numbers
    Then whole numbers and fractions are read exactly, with blanks around them
