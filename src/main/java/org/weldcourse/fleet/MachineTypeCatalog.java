package org.weldcourse.fleet;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.weldcourse.runtime.Clock;
import org.weldcourse.runtime.ScheduledTask;
import org.weldcourse.runtime.Timers;
import org.weldcourse.store.Store;
import org.weldcourse.store.Transaction;

/**
 * Caches the machine types on every node. The leader fetches them from the cloud, for current prices, and records them
 * in the store; other nodes read the record, so that they know the types during a cloud outage, and ask the cloud only
 * if there is no record yet.
 */
public final class MachineTypeCatalog extends ScheduledTask {
    private static final String KEY = "types";
    private static final long RETRY_MICROS = 700_000;
    private static final long REFRESH_MICROS = 60_000_000;

    private final Store store;
    private final CloudClient cloud;
    private final BooleanSupplier isLeader;
    private List<MachineType> types = List.of();
    private boolean refreshInFlight;

    /**
     * Creates a catalog that stays empty until it is started and has received the types from the store or the cloud.
     *
     * @param isLeader returns whether this node is the leader
     */
    public MachineTypeCatalog(Store store, CloudClient cloud, Clock clock, Timers timers, BooleanSupplier isLeader) {
        super("types", clock, timers);
        this.store = store;
        this.cloud = cloud;
        this.isLeader = isLeader;
    }

    /** Returns the machine types as last received; empty while they are unknown. */
    public List<MachineType> known() {
        return types;
    }

    /** Returns the machine type with this name, if it is known. */
    public Optional<MachineType> byName(String name) {
        for (MachineType type : types) {
            if (type.name().equals(name)) {
                return Optional.of(type);
            }
        }
        return Optional.empty();
    }

    @Override
    protected long step() {
        if (refreshInFlight) {
            return -1;
        }
        refreshInFlight = true;
        if (isLeader.getAsBoolean()) {
            refreshFromCloud();
        } else {
            refreshFromRecord();
        }
        return -1;
    }

    private void refreshFromRecord() {
        readRecord(() -> {
            if (types.isEmpty()) {
                refreshFromCloud();
            } else {
                refreshAgainIn(REFRESH_MICROS);
            }
        });
    }

    private void readRecord(Runnable callback) {
        store.get(KEY, read -> {
            if (read.entry() != null) {
                types = CloudCodec.machineTypes(read.entry().value());
            }
            callback.run();
        });
    }

    private void refreshFromCloud() {
        cloud.machineTypes(response -> {
            if (response.types().isEmpty()) {
                if (types.isEmpty() && isLeader.getAsBoolean()) {
                    readRecord(() -> refreshAgainIn(RETRY_MICROS));
                } else {
                    refreshAgainIn(RETRY_MICROS);
                }
                return;
            }
            types = response.types();
            writeRecord(response.body());
            refreshAgainIn(REFRESH_MICROS);
        });
    }

    /** Writes the record; writes are rare, as only the leader and nodes without a record fetch from the cloud. */
    private void writeRecord(Map<String, Object> body) {
        store.commit(new Transaction().put(KEY, body), commit -> {});
    }

    private void refreshAgainIn(long delayMicros) {
        refreshInFlight = false;
        wakeIn(delayMicros);
    }
}
