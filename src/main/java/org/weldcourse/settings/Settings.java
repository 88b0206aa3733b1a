package org.weldcourse.settings;

import java.util.List;
import java.util.Optional;

/** What the platform's file says. Amounts keep the file's units, durations are microseconds. */
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

    private static final int MAX_OWN_SOCKETS = 200;

    /** Another controller. */
    public record Peer(String name, String zone, String address) {}

    /** A guarantee or limit of 0 in the file means none: no guarantee, no limit. */
    public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {
        /** Takes a limit of 0 as none. */
        public Team {
            cpusMax = cpusMax > 0 ? cpusMax : Double.POSITIVE_INFINITY;
            gpusMax = gpusMax > 0 ? gpusMax : Double.POSITIVE_INFINITY;
        }
    }

    /**
     * What the platform promises for a class of jobs.
     *
     * @param withinMicros the time that {@code START} and {@code COMPLETION} allow from submission; 0 for {@code DEADLINE}
     * @param targetShare the share of the jobs, 0 to 1, that should meet it
     * @param deadlineFactor for {@code DEADLINE}, by how much the time to the job's own deadline is multiplied
     */
    public record ServiceLevelObjective(
            Kind kind, String jobClass, long withinMicros, double targetShare, double deadlineFactor) {
        /** What is measured. */
        public enum Kind {
            /** Time from submission until tasks run. */
            START("wait"),
            /** Time from submission until the job is done. */
            COMPLETION("finished"),
            /** Whether the job is done by its own deadline. */
            DEADLINE("deadline");

            private final String word;

            Kind(String word) {
                this.word = word;
            }

            /** The kind that the settings file calls so; none for one that this version does not know. */
            static Optional<Kind> ofWord(String word) {
                for (Kind kind : values()) {
                    if (kind.word.equals(word)) {
                        return Optional.of(kind);
                    }
                }
                return Optional.empty();
            }
        }
    }

    /**
     * How workers send heartbeats, and how long their leases and cancellations last.
     *
     * @param heartbeatIntervalMicros how often a worker reports
     * @param leaseMicros how long a worker keeps its tasks without an answer
     * @param gangWaitMicros how long a task of a gang waits for the others
     * @param gangPeerMicros how soon the tasks of a gang notice that one of them is gone
     * @param cancelMicros how soon after a confirmed cancellation all tasks must be gone
     */
    public record Workers(
            long heartbeatIntervalMicros,
            long leaseMicros,
            long gangWaitMicros,
            long gangPeerMicros,
            long cancelMicros) {}

    /**
     * The state service's limits. It may lower them without notice to {@code upcoming}, or null: what is written keeps to the
     * smaller of both from the start.
     */
    public record StoreLimits(
            double requestsPerSecond,
            double writesPerSecond,
            int maxValueBytes,
            int maxTransactionOps,
            UpcomingStoreLimits upcoming) {
        /** Limits that stay as they are. */
        public StoreLimits(double requestsPerSecond, double writesPerSecond, int maxValueBytes, int maxTransactionOps) {
            this(requestsPerSecond, writesPerSecond, maxValueBytes, maxTransactionOps, null);
        }

        /** The size of a value that is allowed now and later. */
        public int safeValueBytes() {
            return upcoming == null ? maxValueBytes : Math.min(maxValueBytes, upcoming.maxValueBytes());
        }

        /** The changes of a transaction that are allowed now and later. */
        public int safeTransactionOps() {
            return upcoming == null ? maxTransactionOps : Math.min(maxTransactionOps, upcoming.maxTransactionOps());
        }

        /** The rate of changes that is allowed now and later. */
        public double safeWritesPerSecond() {
            return upcoming == null ? writesPerSecond : Math.min(writesPerSecond, upcoming.writesPerSecond());
        }
    }

    /** The limits that the state service may have from some moment on. */
    public record UpcomingStoreLimits(double writesPerSecond, int maxValueBytes, int maxTransactionOps) {}

    /** The limits of the cloud's interface. */
    public record CloudLimits(double requestsPerSecond, long listLagMicros) {}

    /**
     * Sockets kept back for the node's own calls: those to the state service wait for users' requests, which are
     * bounded, so that a large grant goes to workers and users.
     */
    public int outboundSockets() {
        return Math.min(maxSockets / 4, MAX_OWN_SOCKETS);
    }

    /** How many of them may be left open for the next calls, however many connections others hold. */
    public int reservedIdleSockets() {
        return outboundSockets() / 3;
    }

    /** How many of them may be messages under way to workers. */
    public int workerCommandSockets() {
        return outboundSockets() / 4;
    }

    /** The team of this name, or null. */
    public Team team(String name) {
        for (Team team : teams) {
            if (team.name().equals(name)) {
                return team;
            }
        }
        return null;
    }
}
