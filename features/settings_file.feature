Feature: Settings file of a process on the users' platform
  The file may change while the process runs, with or without a SIGHUP.

  # Entries stayed with the old address for good, and served an older configuration.
  Scenario: a new address of the store is used after SIGHUP
    Given a process whose settings file names the store at 127.0.0.1:1
    When the file names the store at 127.0.0.1:2 and the process is told
    Then the process calls the store at 127.0.0.1:2

  Scenario: a new address of the store is found without a signal when the old one doesn't answer
    Given a process whose settings file names the store at 127.0.0.1:1
    When the file names the store at 127.0.0.1:2 and calls of the store fail for 1.5 s
    Then the process calls the store at 127.0.0.1:2

  Scenario: a file that is not valid changes nothing
    Given a process whose settings file names the store at 127.0.0.1:1
    When the file names no store and the process is told
    Then the process calls the store at 127.0.0.1:1

  # Its handler was installed last, so that a SIGHUP during the imports ended the process.
  Scenario: SIGHUP doesn't end a process that is starting
    When the command of the deploy file begins to import the program
    Then SIGHUP is ignored until it is handled
