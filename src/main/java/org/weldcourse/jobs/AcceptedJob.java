package org.weldcourse.jobs;

import java.util.List;
import java.util.Map;
import org.weldcourse.http.Json;
import org.weldcourse.quota.ledger.Reservation;
import org.weldcourse.quota.ledger.SubmissionQuota.Grant;
import org.weldcourse.store.Transaction;

/** A job on its way into the store; {@code grant} is null where there are no reservations. */
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

    /** Whether the reservation's conditions alone did not hold: its budget was taken back, and the job is unknown as yet. */
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

    /** Puts the job's record, unless the job was ever accepted or its reservation's budget was taken back. */
    Transaction write() {
        Transaction txn = new Transaction()
                .ifModRevision(StoreKeys.openJob(id()), 0)
                .ifModRevision(StoreKeys.finalState(id()), 0);
        if (hasReservation()) {
            grant.guards().forEach(txn::ifModRevision);
        }
        return txn.put(StoreKeys.openJob(id()), record());
    }
}
