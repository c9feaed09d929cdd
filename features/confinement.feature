Feature: Routes whose tasks crash runners are confined
  Such a route keeps the share of the runners that it has of the work; the others keep the rest.

  Background:
    Given a pool of 12 runners that have room for 8 tasks each
    And route a brings a fifth of the work and route b the rest

  # Otherwise each of its tasks crashes another runner, with the tasks of all routes there.
  Scenario: the tasks of a confined route stay on its share of the runners
    When route a is confined
    Then 20 tasks of route a are placed on at most 3 runners
    And 60 tasks of route b are placed on none of these

  Scenario: other routes use the runners of a confined route if nothing else has room
    When route a is confined
    Then 96 tasks of route b are placed

  Scenario: the tasks of a confined route wait if its runners are full
    When route a is confined
    Then of 40 tasks of route a, 24 are placed and the others wait
    And 72 tasks of route b are placed

  Scenario: the runners of a confined route stay the same when they crash
    When route a is confined
    And the runners of route a crash
    Then no task of route a is placed
    And a job of route a is refused at once, with a retry hint
    And 60 tasks of route b are placed

  Scenario: a route that brings all the work keeps all runners
    Given route a brings all the work
    When route a is confined
    Then 96 tasks of route a are placed

  Scenario: a confinement ends
    When route a is confined
    And 10.6 s pass for the pool
    Then 60 tasks of route a are placed
