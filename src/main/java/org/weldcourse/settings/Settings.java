package org.weldcourse.settings;

import java.util.List;
import java.util.Optional;

/**
 * The settings from the platform's file. Amounts keep the units of the file; durations are in microseconds.
 *
 * @param listenAddress where this node listens for users and workers, as {@code host:port}
 * @param peerAddress where this node listens for other controllers, as {@code host:port}
 * @param peers the other controllers of the cluster
 * @param maxSockets the maximum number of open sockets, inbound and outbound
 */
public record Settings(
        String nodeName,
        String zone,
        String listenAddress,
        String peerAddress,
        List<Peer> peers,
        String cloudAddress,
        String storeAddress,
        List<String> zones,
        List<Team> teams,
        List<ServiceLevelObjective> objectives,
        Workers workers,
        StoreLimits storeLimits,
        CloudLimits cloudLimits,
        int maxSockets) {

    private static final int MAX_OUTBOUND_SOCKETS = 200;

    /** Another controller of the cluster. */
    public record Peer(String name, String zone, String address) {}

    /** A team's quota: guarantee ({@code cpus}, {@code gpus}) and limit (positive infinity means no limit). */
    public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {
        /** Creates a team; a limit of 0, as in the settings file, means no limit. */
        public Team {
            cpusMax = cpusMax > 0 ? cpusMax : Double.POSITIVE_INFINITY;
            gpusMax = gpusMax > 0 ? gpusMax : Double.POSITIVE_INFINITY;
        }
    }

    /**
     * A service level objective for a class of jobs.
     *
     * @param withinMicros for {@code START} and {@code COMPLETION}, the time allowed since submission; 0 for {@code
     *     DEADLINE}
     * @param targetShare the share of jobs, from 0 to 1, that should meet the objective
     * @param deadlineFactor for {@code DEADLINE}, the factor applied to the time between submission and the job's
     *     deadline
     */
    public record ServiceLevelObjective(
            Kind kind, String jobClass, long withinMicros, double targetShare, double deadlineFactor) {
        /** The criterion by which a job meets the objective. */
        public enum Kind {
            /** The time from submission until tasks run. */
            START("wait"),
            /** The time from submission until the job is complete. */
            COMPLETION("finished"),
            /** Whether the job is complete by its own deadline. */
            DEADLINE("deadline");

            private final String externalName;

            Kind(String externalName) {
                this.externalName = externalName;
            }

            /** The kind with this name in the settings file; empty if this version does not know it. */
            static Optional<Kind> fromExternalName(String name) {
                for (Kind kind : values()) {
                    if (kind.externalName.equals(name)) {
                        return Optional.of(kind);
                    }
                }
                return Optional.empty();
            }
        }
    }

    /**
     * Time limits of the worker protocol.
     *
     * @param heartbeatIntervalMicros the interval between heartbeats of a worker
     * @param leaseMicros how long a worker keeps its tasks running without a response to its heartbeats
     * @param gangWaitMicros how long a task of a gang waits for the others to start
     * @param gangPeerMicros how soon the tasks of a gang detect that one of them has ended
     * @param cancelMicros how soon after a confirmed cancellation all tasks must have ended
     */
    public record Workers(
            long heartbeatIntervalMicros,
            long leaseMicros,
            long gangWaitMicros,
            long gangPeerMicros,
            long cancelMicros) {}

    /**
     * The limits of the store. They may change to {@code upcoming} without notice, so writes always stay within the
     * smaller of both limits.
     *
     * @param upcoming the limits after the change, or null if none is announced
     */
    public record StoreLimits(
            double requestsPerSecond,
            double writesPerSecond,
            int maxValueBytes,
            int maxTransactionOps,
            UpcomingStoreLimits upcoming) {
        /** Creates limits that do not change. */
        public StoreLimits(double requestsPerSecond, double writesPerSecond, int maxValueBytes, int maxTransactionOps) {
            this(requestsPerSecond, writesPerSecond, maxValueBytes, maxTransactionOps, null);
        }

        /** The largest value size within both the current and the upcoming limit. */
        public int safeValueBytes() {
            return upcoming == null ? maxValueBytes : Math.min(maxValueBytes, upcoming.maxValueBytes());
        }

        /** The most operations in a transaction within both the current and the upcoming limit. */
        public int safeTransactionOps() {
            return upcoming == null ? maxTransactionOps : Math.min(maxTransactionOps, upcoming.maxTransactionOps());
        }

        /** The highest write rate within both the current and the upcoming limit. */
        public double safeWritesPerSecond() {
            return upcoming == null ? writesPerSecond : Math.min(writesPerSecond, upcoming.writesPerSecond());
        }
    }

    /** Limits of the store that may come into effect without notice. */
    public record UpcomingStoreLimits(double writesPerSecond, int maxValueBytes, int maxTransactionOps) {}

    /**
     * The limits of the cloud API.
     *
     * @param listLagMicros how far the cloud's list of machines may lag behind changes
     */
    public record CloudLimits(double requestsPerSecond, long listLagMicros) {}

    /**
     * The number of sockets reserved for outbound connections. It is capped, because store requests on behalf of users
     * are bounded: the rest of a large socket quota serves inbound connections of workers and users.
     */
    public int outboundSockets() {
        return Math.min(maxSockets / 4, MAX_OUTBOUND_SOCKETS);
    }

    /** How many outbound connections may stay open while idle, regardless of the number of inbound ones. */
    public int reservedIdleSockets() {
        return outboundSockets() / 3;
    }

    /** How many outbound connections may be used at a time to send commands to workers. */
    public int workerCommandSockets() {
        return outboundSockets() / 4;
    }

    /** The team with this name, or null. */
    public Team team(String name) {
        for (Team team : teams) {
            if (team.name().equals(name)) {
                return team;
            }
        }
        return null;
    }
}
