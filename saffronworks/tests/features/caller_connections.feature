Feature: callers' kept connections

  # Guards against closing connections that callers rightly use: the idle timeout was fixed when a
  # connection was opened, so that a rise reached new connections only.
  Scenario: a raised idle timeout reaches connections that are open
    When the idle timeout is raised while a connection rests, and during a request
    Then a request after a rest within the raised timeout is answered on both
