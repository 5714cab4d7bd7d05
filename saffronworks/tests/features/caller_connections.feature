Feature: callers' kept connections

  # Guards against closing connections that callers rightly use: the idle timeout was fixed when a
  # connection was opened, so that a rise reached new connections only.
  Scenario: a raised idle timeout reaches connections that are open
    When the idle timeout is raised while a connection rests, and during a request
    Then a request after a rest within the raised timeout is answered on both

  # Guards against closing a connection while its caller may use it by the timeout that it knows.
  Scenario Outline: a resting connection is closed by the longer of two timeouts
    Given an idle timeout of <before> ms that becomes <after> ms at <changed> ms
    When a request ends at <ended> ms and its connection rests
    Then the connection is closed at <closed> ms

    Examples: before, during and after a request that takes from 1000 to 2000 ms
      | before | after | changed | ended | closed |
      | 1000   | 4000  | 500     | 2000  | 6000   |
      | 1000   | 4000  | 1500    | 2000  | 6000   |
      | 1000   | 4000  | 2999    | 2000  | 6000   |
      | 1000   | 4000  | 3001    | 2000  | 3000   |
      | 4000   | 1000  | 500     | 2000  | 3000   |
      | 4000   | 1000  | 1500    | 2000  | 3000   |
      | 4000   | 1000  | 2500    | 2000  | 6000   |
