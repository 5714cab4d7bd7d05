Feature: whose request it is

  # Seen: callers of the users' platform carry API keys. Each key went on to the endpoints, every key
  # was as good as any, and one that the operator had taken away was served on.
  # Cause: the configuration's organisations were not read, and a request had no place for its key.
  # Proof: these scenarios on the whole path; on the code before all of these failed but the one on
  # what a node says.

  Scenario: an endpoint learns the organisation and never the key
    When callers send keys, and forged fields in several spellings
    Then endpoints see the organisation that holds the key, and nothing of a key or of what was forged

  Scenario Outline: what can't name an organisation
    When a caller sends <what> on a route that needs a key
    Then it is told 401 and no organisation, and no endpoint sees the request

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
    Then it is served without a key, and with one that nobody holds

  Scenario: a key is taken away from a caller who stays connected
    When a key is taken away while its caller keeps a connection open
    Then the next request on it is told 401, and the organisation's other key is served

  Scenario: a key is taken away while its request is under way
    Then one that waits for memory is refused, and reaches no endpoint
    And one whose prompt is being read gets no stream
    And a stream that has begun comes to its good end

  Scenario: an older version gives no key back
    When a key was taken away and the store then tells an older version
    Then the key is refused on

  Scenario: nothing that a node says shows a key
    When callers are served, refused and told why, with every log line on
    Then no log line, answer, figure or message between nodes holds a key

  Scenario: a node that may not know the newest keys
    Then a key that it doesn't know is refused as not run, and the ones it knows are served

  Scenario: organisations that can't be right
    Then all findings of a configuration's organisations are listed, without a key

  Scenario: contents of two organisations
    Then the same body is another content for another organisation, and the same for its second key
