package org.weldcourse.jobs;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.weldcourse.fleet.MachineType;
import org.weldcourse.quota.ledger.SubmissionQuota;
import org.weldcourse.quota.ledger.SubmissionQuota.Grant;
import org.weldcourse.runtime.Clock;
import org.weldcourse.settings.Settings;

/** Checks whether a well-formed job could ever run, given the settings, the machine types and its team's limit. */
final class SubmissionValidator {
    /** The maximum number of digits that the two numbers of a reservation add to a record in which they are zero. */
    private static final int RESERVATION_DIGITS = 30;

    private final Settings settings;
    private final Supplier<List<MachineType>> machineTypes;
    private final SubmissionQuota quota;
    private final Clock clock;

    SubmissionValidator(
            Settings settings, Supplier<List<MachineType>> machineTypes, SubmissionQuota quota, Clock clock) {
        this.settings = settings;
        this.machineTypes = machineTypes;
        this.quota = quota;
        this.clock = clock;
    }

    /** Whether jobs can be checked yet, which requires the machine types. */
    boolean isReady() {
        return !machineTypes.get().isEmpty();
    }

    /** Returns why the job can never run, or empty if it may run. */
    Optional<String> findRejectionReason(JobSpec spec) {
        Settings.Team team = settings.team(spec.team());
        if (team == null) {
            return Optional.of("unknown team");
        }
        // Tasks that must run at the same time must fit the limit together; those of a job array may run in sequence.
        if (!spec.quotaPerTask().times(spec.concurrentTasks()).fitsInto(quota.limit(team))) {
            return Optional.of("more than the team's limit");
        }
        if (machineTypes.get().stream().noneMatch(type -> type.fits(spec))) {
            return Optional.of("a task fits no allowed machine type");
        }
        int bytes = maxRecordBytes(spec);
        return bytes <= settings.storeLimits().safeValueBytes()
                ? Optional.empty()
                : Optional.of("its record of " + bytes + " bytes is larger than can be kept");
    }

    /** The maximum size of the job's record, measured with a reservation of 0 tasks, which uses no budget. */
    private int maxRecordBytes(JobSpec spec) {
        Grant emptyGrant = quota.reserve(spec.team(), spec.quotaPerTask(), 0);
        int bytes = new AcceptedJob(spec, emptyGrant, clock.wallMicros()).recordBytes();
        return emptyGrant == null ? bytes : bytes + RESERVATION_DIGITS;
    }
}
