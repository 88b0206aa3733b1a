package org.weldcourse.jobs;

import java.util.List;
import java.util.Map;
import org.weldcourse.http.Json;
import org.weldcourse.quota.ledger.Reservation;
import org.weldcourse.quota.ledger.SubmissionQuota.Grant;
import org.weldcourse.store.Transaction;

/** A validated job to be written to the store; {@code grant} is null if reservations are not in use. */
record AcceptedJob(JobSpec spec, Grant grant, long acceptedWallMicros) {

    String id() {
        return spec.id();
    }

    boolean hasReservation() {
        return grant != null && !grant.reservation().isNone();
    }

    AcceptedJob withoutReservation() {
        String owner = grant.reservation().owner();
        return new AcceptedJob(spec, Grant.none(owner), acceptedWallMicros);
    }

    /**
     * Whether only conditions of the reservation failed: its quota budget was withdrawn, but the job was not accepted
     * before.
     */
    boolean isOnlyReservationOutdated(List<Object> failedKeys) {
        return grant.guards().keySet().containsAll(failedKeys);
    }

    int recordBytes() {
        return Json.bytes(record()).length;
    }

    private Map<String, Object> record() {
        Map<String, Object> record = JobRecordCodec.encode(spec, acceptedWallMicros, false);
        if (grant != null) {
            record.put(Reservation.FIELD, grant.reservation().toJson());
        }
        return record;
    }

    /**
     * The transaction that writes the job's record. It fails if the job was ever accepted before, or if the quota
     * budget of its reservation was withdrawn.
     */
    Transaction toTransaction() {
        Transaction txn = new Transaction()
                .ifModRevision(StoreKeys.openJob(id()), 0)
                .ifModRevision(StoreKeys.finalState(id()), 0);
        if (hasReservation()) {
            grant.guards().forEach(txn::ifModRevision);
        }
        return txn.put(StoreKeys.openJob(id()), record());
    }
}
