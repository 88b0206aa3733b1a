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
 * Keeps the machine types at hand on every node: from the record in the state service, so that a cloud outage
 * blinds nobody, and from the cloud where there is none yet or this node leads and wants current prices.
 */
public final class MachineTypeCatalog extends ScheduledTask {
    private static final String KEY = "types";
    private static final long RETRY_MICROS = 700_000;
    private static final long REFRESH_MICROS = 60_000_000;

    private final Store store;
    private final CloudClient cloud;
    private final BooleanSupplier leads;
    private List<MachineType> types = List.of();
    private boolean refreshInFlight;

    /**
     * A catalog that is empty until it was started and has read the record or heard from the cloud.
     *
     * @param leads whether this node leads
     */
    public MachineTypeCatalog(Store store, CloudClient cloud, Clock clock, Timers timers, BooleanSupplier leads) {
        super("types", clock, timers);
        this.store = store;
        this.cloud = cloud;
        this.leads = leads;
    }

    /** The machine types as last heard; empty while they are unknown. */
    public List<MachineType> known() {
        return types;
    }

    /** The machine type of this name, empty while it is unknown. */
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
        if (leads.getAsBoolean()) {
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
                if (types.isEmpty() && leads.getAsBoolean()) {
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

    /** Only nodes without a record and the leader ask the cloud, so this is seldom written. */
    private void writeRecord(Map<String, Object> body) {
        store.commit(new Transaction().put(KEY, body), commit -> {});
    }

    private void refreshAgainIn(long delayMicros) {
        refreshInFlight = false;
        wakeIn(delayMicros);
    }
}
