Feature: API keys and the organisations that own them

  # Guards against requests served with any key or with a revoked one, and against keys that reach
  # endpoints: the configuration's organisations were not read, and keys were forwarded as headers.

  Scenario: an endpoint receives the organisation and never the key
    When callers send keys, and header fields that only the router may set in several spellings
    Then endpoints see the organisation that owns the key, and neither a key nor those fields

  Scenario Outline: a key that identifies no organisation
    When a caller sends <what> on a route that needs a key
    Then it gets status 401 without an organisation, and no endpoint sees the request

    Examples:
      | what                |
      | no key              |
      | an unknown key      |
      | two keys            |
      | an empty key        |
      | a key with a blank  |
      | a key of 8 KB       |
      | a key that is no ASCII |

  Scenario: a route that needs no key
    Then it is served without a key, and with an unknown one

  Scenario: a key is revoked while its caller stays connected
    When a key is revoked while its caller keeps a connection open
    Then the next request on it gets status 401, and the organisation's other key is served

  Scenario: a key is revoked while its request is in flight
    Then one that waits for memory is rejected, and reaches no endpoint
    And one in its prefill gets no stream
    And a stream that has begun is completed

  Scenario: an older configuration does not restore a key
    When a key is revoked and the store then returns an older configuration
    Then the key stays rejected

  Scenario: no output of a node contains a key
    When callers are served and rejected, with all log levels enabled
    Then no log line, answer, metric or message between nodes contains a key

  Scenario: a node whose configuration may be out of date
    Then an unknown key is rejected as not run, and known keys are served

  Scenario: invalid organisations
    Then all findings on a configuration's organisations are listed, without a key

  Scenario: the same body from two organisations
    Then it is different content for another organisation, and the same content for a second key
