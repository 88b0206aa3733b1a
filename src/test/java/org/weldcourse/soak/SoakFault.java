package org.weldcourse.soak;

/**
 * The faults that a soak run can inject. Their names are values of the option {@code --faults}. A change of their order
 * changes the schedule of every seed.
 */
enum SoakFault {
    /** Kills a controller and restarts it when the fault ends. */
    NODE_KILLED,
    /** Kills a controller and restarts it almost at once. */
    NODE_BACK_AT_ONCE,
    /** Kills the leader and restarts it when the fault ends. */
    LEADER_KILLED,
    /** Kills the leader several times in a row, and restarts each one almost at once. */
    LEADERS_IN_SERIES,
    /** Kills all controllers and restarts them when the fault ends. */
    ALL_NODES_KILLED,
    /** Suspends the process of a controller until the fault ends. */
    NODE_PAUSED,
    /** Suspends the process of the leader until the fault ends. */
    LEADER_PAUSED,
    /** Drops the store's answers to one controller, whose requests still take effect. */
    STATE_CUT_ONE_WAY,
    /** Drops the requests of one controller to the store. */
    STATE_CUT,
    /** Makes the store answer one controller with 503. */
    STATE_REFUSES_ONE,
    /** Takes the store down. */
    STATE_OUT,
    /** Delays the requests of all controllers to the store. */
    STATE_SLOW,
    /** Drops a share of the store's answers to all controllers. */
    STATE_LOSES_ANSWERS,
    /** Applies a share of the requests to the store seconds late and leaves them unanswered. */
    STATE_WRITES_LATE,
    /** Takes the cloud API down. */
    CLOUD_OUT,
    /** Cuts the peer links from one controller to the others. */
    PEERS_CUT_ONE_WAY,
    /** Cuts the peer links between one controller and the others in both directions. */
    PEERS_CUT,
    /** Cuts the leader off from the store and from its peers. */
    LEADER_CUT_FROM_STATE_AND_PEERS,
    /** Drops the heartbeats of all workers to one controller. */
    NODE_CUT_FROM_WORKERS,
    /** Suspends the workers on some machines. */
    MACHINES_HANG,
    /** Drops everything that is sent to some machines. */
    MACHINES_DEAF,
    /** Drops everything that some machines send. */
    MACHINES_MUTE,
    /** Powers some machines off for good, while the cloud still lists them. */
    MACHINES_LOST,
    /** Restarts some machines at once, without their tasks. */
    MACHINES_BACK_AT_ONCE,
    /** Delivers a share of the workers' heartbeats a second time, seconds later. */
    REPORTS_REPEATED,
    /** Delivers a share of the commands to workers seconds late and leaves them unanswered. */
    COMMANDS_LATE,
    /** Cancels several accepted jobs at the same time. */
    RUNNING_JOBS_CANCELLED
}
